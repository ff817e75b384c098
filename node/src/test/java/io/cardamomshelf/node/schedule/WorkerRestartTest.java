package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests what a scheduler keeps of a worker that restarts under its identifier. The restarted worker
 * has no runs, no leases and no ends, and its clock and its numbers of ends start again.
 */
class WorkerRestartTest extends SchedulingFixture {

    private void lead() {
        storeConfigurationAndWorkers("w1");
        new Process("one");
        time.advance(4_000);
    }

    @Nested
    class StartsOnTheNewIncarnation {

        /** Guards against dropping runs of the new incarnation when its entry is read. */
        @Test
        void areKeptWhenItsEntryIsRead() {
            lead();
            workers.restart("w1");
            submit(1, false);
            time.advance(200);
            assertTrue(workers.isRunning(TASK));
            register("w2");
            register("w1");
            time.advance(5_000);
            assertEquals(1, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
            assertTrue(workers.isRunning(TASK));
        }
    }
}
