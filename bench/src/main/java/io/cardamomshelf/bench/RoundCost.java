package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.Decision;
import io.cardamomshelf.core.job.Dispatcher;
import io.cardamomshelf.core.job.RunTimeEstimates;
import io.cardamomshelf.core.job.JobTable;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Measures the processor time of one dispatch round on a full fleet of 17 data centres, jobs of all
 * kinds waiting.
 *
 * <p>Use: {@code new RoundCost(workers, waiting).millis()}.
 */
final class RoundCost {

    private static final int SITES = 17;
    private static final int ORGANISATIONS = 600;
    private static final int ROUNDS = 15;
    private static final int WARM_UP = 5;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final long LATER_MILLIS = 3_600_000;

    private final CapacityState books = new CapacityState();
    private final Dispatcher dispatcher = new Dispatcher(books, new RunTimeEstimates(75));
    private final List<JobTable.Job> waiting = new ArrayList<>();
    private int jobs;

    RoundCost(int workers, int waitingJobs) {
        int[] sizes = new int[SITES];
        Arrays.fill(sizes, workers / SITES);
        Workload.workers(sizes).forEach(books.fleet()::put);
        books.reconfigure(Workload.lists(ORGANISATIONS, SITES));
        List<SimJob> work = new Workload(1).jobs(1, 1, workers * 8, ORGANISATIONS);
        fill(work);
        for (int number = 0; number < waitingJobs; number++) {
            waiting.add(job(work.get(number % work.size())));
        }
    }

    /** Returns the median processor time of a round, in milliseconds. */
    double millis() {
        List<Double> times = new ArrayList<>();
        for (int round = 0; round < WARM_UP + ROUNDS; round++) {
            long before = cpuNanos();
            List<Dispatcher.Planned> planned =
                    dispatcher.round(waiting, site -> true, LATER_MILLIS + round);
            long after = cpuNanos();
            undo(planned);
            if (round >= WARM_UP) {
                times.add((after - before) / NANOS_PER_MILLI);
            }
        }
        Collections.sort(times);
        return times.get(times.size() / 2);
    }

    /** Places jobs until the small ones find no room any more. */
    private void fill(List<SimJob> work) {
        int refused = 0;
        for (int number = 0; refused < work.size() / 10; number++) {
            JobTable.Job job = job(work.get(number % work.size()));
            Decision decision = books.placer(site -> true).decide(job.id(), job.spec(), 0);
            if (decision instanceof Decision.Place place && place.victims().isEmpty()) {
                books.allocate(place.allocation());
            } else {
                refused++;
            }
        }
    }

    /** Gives a round's cells back, so that the next one meets the same fleet. */
    private void undo(List<Dispatcher.Planned> planned) {
        for (Dispatcher.Planned one : planned) {
            if (one.decision() instanceof Decision.Place place) {
                books.release(one.job().id());
                place.victims().forEach(books::allocate);
            }
        }
    }

    private JobTable.Job job(SimJob job) {
        JobId id = JobId.of("r-" + jobs++);
        return new JobTable.Job(
                id, job.spec(), InstanceId.of("bench"), 1, false, "", Optional.empty());
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
