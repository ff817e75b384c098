package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests placement with demands of nothing, of one resource only, and of the largest amounts. */
class PlacementArithmeticTest {

    private static final Resources CAPACITY = SchedulerFixture.WORKER_CAPACITY;

    private static long copies(long demand, long capacity) {
        return demand == 0 ? Long.MAX_VALUE : capacity / demand;
    }

    /** How many tasks fit on one worker, computed without the code under test. */
    private static long copiesOnOneWorker(long cpuMillis, long memoryMb, int accelerators) {
        return Math.min(
                copies(cpuMillis, CAPACITY.cpuMillis()),
                Math.min(
                        copies(memoryMb, CAPACITY.memoryMb()),
                        copies(accelerators, CAPACITY.accelerators())));
    }

    private static int starts(int workers, SchedulerFixture.StepBuilder step) {
        SchedulerFixture fixture = new SchedulerFixture();
        for (int i = 1; i <= workers; i++) {
            fixture.addIdleWorker("w" + i, "r1-1");
        }
        return fixture.submit(1, 1, step).startAll().size();
    }

    @Property(tries = 300, seed = "20261207")
    void startsAsManySingleTasksAsFit(
            @ForAll @IntRange(min = 1, max = 7) int workers,
            @ForAll @IntRange(min = 1, max = 40) int count,
            @ForAll @LongRange(min = 0, max = 140_000) long cpuMillis,
            @ForAll @LongRange(min = 0, max = 600_000) long memoryMb,
            @ForAll @IntRange(min = 0, max = 9) int accelerators) {
        long perWorker = Math.min(count, copiesOnOneWorker(cpuMillis, memoryMb, accelerators));
        assertEquals(
                Math.min(count, workers * perWorker),
                starts(workers, step(count, cpuMillis, memoryMb, accelerators)));
    }

    @Property(tries = 300, seed = "20261207")
    void startsAGangWholeOrNotAtAll(
            @ForAll @IntRange(min = 1, max = 7) int workers,
            @ForAll @IntRange(min = 1, max = 40) int count,
            @ForAll @LongRange(min = 0, max = 140_000) long cpuMillis,
            @ForAll @LongRange(min = 0, max = 600_000) long memoryMb,
            @ForAll @IntRange(min = 0, max = 9) int accelerators) {
        long perWorker = Math.min(count, copiesOnOneWorker(cpuMillis, memoryMb, accelerators));
        assertEquals(
                workers * perWorker >= count ? count : 0,
                starts(workers, step(count, cpuMillis, memoryMb, accelerators).gang()));
    }

    /** Guards against a step that never starts, as the copies of all workers overflow an int. */
    @Nested
    class AStepWithoutADemand {

        @Test
        void startsOnAnyNumberOfWorkers() {
            for (int workers = 1; workers <= 8; workers++) {
                assertEquals(3, starts(workers, step(3, 0, 0, 0)), workers + " workers");
                assertEquals(3, starts(workers, step(3, 0, 0, 0).gang()), workers + " workers");
                assertEquals(
                        3,
                        starts(workers, step(3, 0, 0, 0).gang().rackLocal()),
                        workers + " workers");
                assertEquals(
                        Math.min(3, workers),
                        starts(workers, step(3, 0, 0, 0).maxPerWorker(1)),
                        workers + " workers");
            }
        }
    }

    @Nested
    class TheLargestAmounts {

        @Test
        void ofADemandFitNowhere() {
            assertEquals(0, starts(4, step(2, Long.MAX_VALUE, 0, 0)));
            assertEquals(0, starts(4, step(2, 0, Long.MAX_VALUE, 0).gang()));
            assertEquals(0, starts(4, step(10_000, 0, 0, Integer.MAX_VALUE).gang()));
        }

        @Test
        void ofAnUrgentJobAreNotWithinAGuarantee() {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 0, step(2, 0, 0, Integer.MAX_VALUE).gang());
            fixture.submit(2, 0, step(1, 1_000, 1_000, 8));
            assertEquals(1, fixture.startAll().size());
        }

        @Test
        void ofAnEstimateDoNotOverflow() {
            assertEquals(2, starts(4, step(2, 1_000, 1_000, 1).estimateMillis(Long.MAX_VALUE)));
            StepSpec longest = step(1, 1, 1, 1).estimateMillis(Long.MAX_VALUE).build();
            StepSpec next = step(1, 1, 1, 1).estimateMillis(Long.MAX_VALUE).after(0).build();
            JobRequest request = new JobRequest("x", List.of(longest, next), 0, 0, 0);
            assertTrue(request.longestChainMillis() > 0);
        }

        @Test
        void ofAnIntervalAreNeverDue() {
            StepSpec any = step(1, 1, 1, 1).build();
            JobRequest request = new JobRequest("x", List.of(any), 100, 5_000, Long.MAX_VALUE / 2);
            assertEquals(5_000, request.dueMillis(0));
            assertTrue(request.dueMillis(1) > Long.MAX_VALUE / 4);
            assertEquals(Long.MAX_VALUE, request.dueMillis(3));
            assertEquals(Long.MAX_VALUE, request.dueMillis(99));
        }
    }
}
