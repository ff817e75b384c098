package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a scheduler whose jobs are loaded again, as records expired before it read them. */
class ReloadedJobsTest extends SchedulingFixture {

    private static final JobId SECOND = JobId.of("00000000000000ab");

    /** Longer than the interval at which ended jobs are removed from the scheduler's state. */
    private static final long CLEANUP_MILLIS = 6_000;

    @Nested
    class AJobThatHasEnded {

        /** Guards against a second run of a job that has ended. */
        @Test
        void isNotTakenAsNew() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(1_000);
            assertEquals(JobState.COMPLETED, one.state());
            time.advance(CLEANUP_MILLIS);
            store.fault = Fault.REFUSING;
            time.advance(1_000);
            submit(SECOND, 1, false);
            store.dropHistory(Stream.JOBS);
            store.fault = Fault.NONE;
            time.advance(2_000);
            assertTrue(workers.isRunning(TaskId.of(SECOND, 0, 0, 0)));
            assertEquals(2, workers.starts.size());
        }
    }
}
