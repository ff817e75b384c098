package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Writer;
import io.cardamomshelf.node.store.JobRecords;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests elections and resignations whose appends get no answer or a refusal. */
class ElectionTest extends SchedulingFixture {

    /** Well below the time without heartbeats that leads to an election, in milliseconds. */
    private static final long TRANSFER_LIMIT_MILLIS = 700;

    /** When an append of a candidacy counts as unanswered, in milliseconds. */
    private static final long CANDIDACY_TIMEOUT_MILLIS = 1_500;

    @Nested
    class Candidates {

        /** Guards against a wait for the heartbeats of a scheduler that never began. */
        @Test
        void whoseRecordWasStoredButNeverAnsweredRunForElectionAgainAtOnce() {
            storeConfigurationAndWorkers("w1");
            store.fault = Fault.LOSING_ANSWERS;
            Process one = new Process("one");
            advanceUntil(() -> store.appends == 3);
            store.fault = Fault.NONE;
            time.advance(CANDIDACY_TIMEOUT_MILLIS);
            assertFalse(one.candidate.isLeading());
            time.advance(TRANSFER_LIMIT_MILLIS);
            assertTrue(one.candidate.isLeading());
        }
    }

    @Nested
    class Schedulers {

        /** Guards against a resignation that never completes. */
        @Test
        void thatAreDeposedWhileTheyResignCompleteTheResignation() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            awaitLeading(one);
            store.fault = Fault.UNRESPONSIVE;
            List<Boolean> resigned = new ArrayList<>();
            one.candidate.resign().subscribe().with(done -> resigned.add(true));
            time.advance(1_000);
            assertEquals(List.of(), resigned);
            store.fault = Fault.NONE;
            store.append(
                            List.of(
                                    JobRecords.leader(
                                            new JobRecords.Leader("two", 2, false, false, 1))),
                            Optional.of(new Writer(2, 0)),
                            1_000)
                    .subscribe()
                    .with(outcome -> {});
            time.advance(3_000);
            assertEquals(List.of(true), resigned);
        }
    }
}
