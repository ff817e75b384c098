package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore.Fault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests elections whose appends get no answer. */
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
}
