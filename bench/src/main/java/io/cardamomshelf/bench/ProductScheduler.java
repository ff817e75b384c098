package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.CellIndex;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.Decision;
import io.cardamomshelf.core.job.Dispatcher;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.job.RunTimeEstimates;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Schedules with the classes of the product, connected as the entry connects them. */
final class ProductScheduler implements Scheduler {

    private static final int ESTIMATE_PERCENT = 75;

    /** The level of a block of 16 accelerators. */
    private static final int LARGE_BLOCK_LEVEL = 4;

    private final CapacityState capacityState = new CapacityState();
    private final RunTimeEstimates estimates = new RunTimeEstimates(ESTIMATE_PERCENT);
    private final Dispatcher dispatcher = new Dispatcher(capacityState, estimates);
    private final Map<JobId, JobTable.Job> waiting = new LinkedHashMap<>();
    private final Map<JobId, JobTable.Job> running = new LinkedHashMap<>();
    private Set<DataCentreId> withdrawn = Set.of();

    ProductScheduler(List<Worker> workers, ConfigState configuration) {
        workers.forEach(capacityState.fleet()::put);
        capacityState.reconfigure(configuration);
    }

    CapacityState capacityState() {
        return capacityState;
    }

    @Override
    public void submit(SimJob job) {
        JobTable.Job tableJob =
                new JobTable.Job(
                        job.id(),
                        job.spec(),
                        InstanceId.of("bench"),
                        1,
                        false,
                        "",
                        Optional.empty());
        waiting.put(job.id(), tableJob);
    }

    @Override
    public Round runRound(long nowMillis) {
        List<JobId> started = new ArrayList<>();
        List<JobId> stopped = new ArrayList<>();
        for (Dispatcher.Planned planned :
                dispatcher.round(
                        List.copyOf(waiting.values()),
                        dataCentre -> !withdrawn.contains(dataCentre),
                        nowMillis)) {
            if (planned.decision() instanceof Decision.Place place) {
                for (Allocation victim : place.victims()) {
                    stopped.add(victim.job());
                    waiting.put(victim.job(), running.remove(victim.job()));
                }
                JobId id = planned.job().id();
                started.add(id);
                running.put(id, waiting.remove(id));
            }
        }
        return new Round(started, stopped);
    }

    @Override
    public void jobEnded(JobId job, long nowMillis) {
        running.remove(job);
        capacityState
                .release(job)
                .ifPresent(
                        ended ->
                                estimates.add(
                                        ended.organisation(),
                                        ended.estimateMillis(),
                                        nowMillis - ended.startedMillis()));
    }

    @Override
    public void cancel(JobId job) {
        waiting.remove(job);
    }

    @Override
    public Set<JobId> setWithdrawn(Set<DataCentreId> dataCentres) {
        withdrawn = Set.copyOf(dataCentres);
        Set<JobId> stopped = new TreeSet<>();
        for (Allocation allocation : List.copyOf(capacityState.fleet().allocations())) {
            if (dataCentres.contains(allocation.placement().dataCentre())) {
                stopped.add(allocation.job());
                capacityState.release(allocation.job());
                waiting.put(allocation.job(), running.remove(allocation.job()));
            }
        }
        return stopped;
    }

    @Override
    public double fragmentation() {
        long freeAccelerators = 0;
        long usableAccelerators = 0;
        for (DataCentreId dataCentre : capacityState.fleet().dataCentres()) {
            CellIndex freeCells = capacityState.fleet().freeCells(dataCentre);
            freeAccelerators += freeCells.freeAccelerators();
            usableAccelerators += freeCells.blocks(LARGE_BLOCK_LEVEL) << LARGE_BLOCK_LEVEL;
        }
        return freeAccelerators == 0 ? 0 : 1 - usableAccelerators / (double) freeAccelerators;
    }
}
