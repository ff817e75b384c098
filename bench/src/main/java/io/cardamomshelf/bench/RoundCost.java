package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.Decision;
import io.cardamomshelf.core.job.Dispatcher;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.job.RunTimeEstimates;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Measures the processor time of one dispatch round on a full fleet of 17 data centres, with small
 * and large jobs waiting.
 *
 * <p>Use: {@code new RoundCost(workers, waitingJobs).medianMillis()}.
 */
final class RoundCost {

    private static final int DATA_CENTRES = 17;
    private static final int ORGANISATIONS = 600;
    private static final int MEASURED_ROUNDS = 15;
    private static final int WARM_UP_ROUNDS = 5;
    private static final double NANOS_PER_MILLISECOND = 1_000_000;
    private static final long FIRST_ROUND_MILLIS = 3_600_000;

    private final CapacityState capacityState = new CapacityState();
    private final Dispatcher dispatcher = new Dispatcher(capacityState, new RunTimeEstimates(75));
    private final List<JobTable.Job> waiting = new ArrayList<>();
    private int createdJobs;

    RoundCost(int workers, int waitingJobs) {
        int[] workersPerDataCentre = new int[DATA_CENTRES];
        Arrays.fill(workersPerDataCentre, workers / DATA_CENTRES);
        Workload.workers(workersPerDataCentre).forEach(capacityState.fleet()::put);
        capacityState.reconfigure(Workload.configuration(ORGANISATIONS, DATA_CENTRES));
        List<SimJob> workload = new Workload(1).jobs(1, 1, workers * 8, ORGANISATIONS);
        fillFleet(workload);
        for (int number = 0; number < waitingJobs; number++) {
            waiting.add(createJob(workload.get(number % workload.size())));
        }
    }

    /** Returns the median processor time of a round, in milliseconds. */
    double medianMillis() {
        List<Double> millis = new ArrayList<>();
        for (int round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
            long startNanos = cpuNanos();
            List<Dispatcher.Planned> planned =
                    dispatcher.round(waiting, dataCentre -> true, FIRST_ROUND_MILLIS + round);
            long endNanos = cpuNanos();
            undoRound(planned);
            if (round >= WARM_UP_ROUNDS) {
                millis.add((endNanos - startNanos) / NANOS_PER_MILLISECOND);
            }
        }
        Collections.sort(millis);
        return millis.get(millis.size() / 2);
    }

    /**
     * Places jobs until the refused ones number a tenth of the workload, so that not even small
     * jobs fit.
     */
    private void fillFleet(List<SimJob> workload) {
        int refused = 0;
        for (int number = 0; refused < workload.size() / 10; number++) {
            JobTable.Job job = createJob(workload.get(number % workload.size()));
            Decision decision =
                    capacityState.placer(dataCentre -> true).decide(job.id(), job.spec(), 0);
            if (decision instanceof Decision.Place place && place.victims().isEmpty()) {
                capacityState.allocate(place.allocation());
            } else {
                refused++;
            }
        }
    }

    /** Reverts a round's allocations, so that each round starts from the same fleet. */
    private void undoRound(List<Dispatcher.Planned> planned) {
        for (Dispatcher.Planned plannedJob : planned) {
            if (plannedJob.decision() instanceof Decision.Place place) {
                capacityState.release(plannedJob.job().id());
                place.victims().forEach(capacityState::allocate);
            }
        }
    }

    private JobTable.Job createJob(SimJob job) {
        JobId id = JobId.of("r-" + createdJobs++);
        return new JobTable.Job(
                id, job.spec(), InstanceId.of("bench"), 1, false, "", Optional.empty());
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
