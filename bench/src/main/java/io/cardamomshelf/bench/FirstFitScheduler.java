package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Worker;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The baselines: each job takes the first workers with room; a gang takes the first rack with
 * enough empty workers, for it couldn't run otherwise. With {@code strict}, nothing passes a
 * waiting job.
 */
final class FirstFitScheduler implements Scheduler {

    private record Part(int worker, int accelerators) {}

    private final List<Worker> workers;
    private final int[] free;
    private final boolean strict;
    private final Map<JobId, SimJob> waiting = new LinkedHashMap<>();
    private final Map<JobId, SimJob> jobs = new LinkedHashMap<>();
    private final Map<JobId, List<Part>> running = new LinkedHashMap<>();
    private Set<DataCentreId> out = Set.of();

    FirstFitScheduler(List<Worker> workers, boolean strict) {
        this.workers = workers;
        this.free = workers.stream().mapToInt(Worker::accelerators).toArray();
        this.strict = strict;
    }

    @Override
    public void submit(SimJob job) {
        waiting.put(job.id(), job);
        jobs.put(job.id(), job);
    }

    @Override
    public Round round(long nowMillis) {
        List<JobId> started = new ArrayList<>();
        for (SimJob job : List.copyOf(waiting.values())) {
            List<Part> parts = find(job.spec().demand().accelerators());
            if (parts.isEmpty() && strict) {
                break;
            }
            if (!parts.isEmpty()) {
                parts.forEach(part -> free[part.worker()] -= part.accelerators());
                running.put(job.id(), parts);
                waiting.remove(job.id());
                started.add(job.id());
            }
        }
        return new Round(started, List.of());
    }

    private List<Part> find(int accelerators) {
        int size = workers.get(0).accelerators();
        if (accelerators <= size) {
            for (int index = 0; index < free.length; index++) {
                if (isIn(index) && free[index] >= accelerators) {
                    return List.of(new Part(index, accelerators));
                }
            }
            return List.of();
        }
        Map<String, List<Integer>> empty = new LinkedHashMap<>();
        int need = (accelerators + size - 1) / size;
        for (int index = 0; index < free.length; index++) {
            if (isIn(index) && free[index] == size) {
                List<Integer> rack =
                        empty.computeIfAbsent(workers.get(index).rack(), any -> new ArrayList<>());
                rack.add(index);
                if (rack.size() == need) {
                    return gang(rack, accelerators, size);
                }
            }
        }
        return List.of();
    }

    private static List<Part> gang(List<Integer> rack, int accelerators, int size) {
        List<Part> parts = new ArrayList<>();
        int left = accelerators;
        for (int index : rack) {
            parts.add(new Part(index, Math.min(size, left)));
            left -= size;
        }
        return parts;
    }

    private boolean isIn(int index) {
        return !out.contains(workers.get(index).dataCentre());
    }

    @Override
    public void ended(JobId job, long nowMillis) {
        running.remove(job).forEach(part -> free[part.worker()] += part.accelerators());
    }

    @Override
    public void cancel(JobId job) {
        waiting.remove(job);
    }

    @Override
    public Set<JobId> out(Set<DataCentreId> sites) {
        out = Set.copyOf(sites);
        Set<JobId> leaving = new TreeSet<>();
        new LinkedHashMap<>(running)
                .forEach(
                        (job, parts) -> {
                            if (!isIn(parts.get(0).worker())) {
                                ended(job, 0);
                                waiting.put(job, jobs.get(job));
                                leaving.add(job);
                            }
                        });
        return leaving;
    }

    @Override
    public double fragmentation() {
        int all = 0;
        Map<String, Integer> empty = new LinkedHashMap<>();
        for (int index = 0; index < free.length; index++) {
            Worker worker = workers.get(index);
            all += free[index];
            empty.merge(worker.rack(), free[index] == worker.accelerators() ? 1 : 0, Integer::sum);
        }
        int useful = empty.values().stream().mapToInt(count -> count / 2 * Workload.LARGE).sum();
        return all == 0 ? 0 : 1 - useful / (double) all;
    }
}
