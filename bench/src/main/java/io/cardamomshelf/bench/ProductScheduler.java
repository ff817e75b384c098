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
import io.cardamomshelf.core.job.RunTimeEstimates;
import io.cardamomshelf.core.job.JobTable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The product's own classes, as the entry runs them. */
final class ProductScheduler implements Scheduler {

    private static final int TRUSTED_PERCENT = 75;
    private static final int LARGE_LEVEL = 4;

    private final CapacityState books = new CapacityState();
    private final RunTimeEstimates estimates = new RunTimeEstimates(TRUSTED_PERCENT);
    private final Dispatcher dispatcher = new Dispatcher(books, estimates);
    private final Map<JobId, JobTable.Job> waiting = new LinkedHashMap<>();
    private final Map<JobId, JobTable.Job> running = new LinkedHashMap<>();
    private Set<DataCentreId> out = Set.of();

    ProductScheduler(List<Worker> workers, ConfigState lists) {
        workers.forEach(books.fleet()::put);
        books.reconfigure(lists);
    }

    CapacityState books() {
        return books;
    }

    @Override
    public void submit(SimJob job) {
        JobTable.Job entry =
                new JobTable.Job(
                        job.id(),
                        job.spec(),
                        InstanceId.of("bench"),
                        1,
                        false,
                        "",
                        Optional.empty());
        waiting.put(job.id(), entry);
    }

    @Override
    public Round round(long nowMillis) {
        List<JobId> started = new ArrayList<>();
        List<JobId> stopped = new ArrayList<>();
        for (Dispatcher.Planned planned :
                dispatcher.round(
                        List.copyOf(waiting.values()), site -> !out.contains(site), nowMillis)) {
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
    public void ended(JobId job, long nowMillis) {
        running.remove(job);
        books.release(job)
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
    public Set<JobId> out(Set<DataCentreId> sites) {
        out = Set.copyOf(sites);
        Set<JobId> leaving = new TreeSet<>();
        for (Allocation allocation : List.copyOf(books.fleet().allocations())) {
            if (sites.contains(allocation.placement().dataCentre())) {
                leaving.add(allocation.job());
                books.release(allocation.job());
                waiting.put(allocation.job(), running.remove(allocation.job()));
            }
        }
        return leaving;
    }

    @Override
    public double fragmentation() {
        long free = 0;
        long useful = 0;
        for (DataCentreId site : books.fleet().dataCentres()) {
            CellIndex cells = books.fleet().freeCells(site);
            free += cells.freeAccelerators();
            useful += cells.blocks(LARGE_LEVEL) << LARGE_LEVEL;
        }
        return free == 0 ? 0 : 1 - useful / (double) free;
    }
}
