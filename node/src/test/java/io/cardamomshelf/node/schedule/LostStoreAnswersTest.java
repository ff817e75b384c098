package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.node.FakeStore.Fault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a scheduler whose appends are carried out, while the answers to them are lost. */
class LostStoreAnswersTest extends SchedulingFixture {

    /** Three seconds, less the time for a start. */
    private static final long LONGEST_WAIT_BESIDE_ROOM_MILLIS = 2_500;

    private Process scheduler;

    @BeforeEach
    void electScheduler() {
        storeConfigurationAndWorkers("w1", "w2");
        scheduler = new Process("one");
        time.advance(4_000);
        store.fault = Fault.LOSING_ANSWERS;
    }

    @Nested
    class Jobs {

        /** Guards against a job that stands still until an answer of the store arrives. */
        @Test
        void areStarted() {
            submit(1, false);
            time.advance(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void runOnceAndEnd() {
            submit(1, false);
            time.advance(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            workers.finish(workers.hostOf(TASK).value(), TASK, RunEnd.DONE);
            time.advance(4_000);
            store.fault = Fault.NONE;
            time.advance(10_000);
            assertTrue(scheduler.candidate.isLeading());
            assertEquals(JobState.COMPLETED, scheduler.state());
            assertEquals(1, workers.starts.size());
        }
    }
}
