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
 * Schedules by first fit, as a baseline. A job gets the first worker with enough free accelerators.
 * A job larger than one worker is a gang and gets the first rack with enough empty workers, because
 * it cannot run otherwise. In strict mode, no job starts before one that precedes it in the queue
 * (FIFO).
 */
final class FirstFitScheduler implements Scheduler {

    private record Part(int workerIndex, int accelerators) {}

    private final List<Worker> workers;
    private final int[] freeAccelerators;
    private final boolean strict;
    private final Map<JobId, SimJob> waiting = new LinkedHashMap<>();
    private final Map<JobId, SimJob> jobs = new LinkedHashMap<>();
    private final Map<JobId, List<Part>> running = new LinkedHashMap<>();
    private Set<DataCentreId> withdrawn = Set.of();

    FirstFitScheduler(List<Worker> workers, boolean strict) {
        this.workers = workers;
        this.freeAccelerators = workers.stream().mapToInt(Worker::accelerators).toArray();
        this.strict = strict;
    }

    @Override
    public void submit(SimJob job) {
        waiting.put(job.id(), job);
        jobs.put(job.id(), job);
    }

    @Override
    public Round runRound(long nowMillis) {
        List<JobId> started = new ArrayList<>();
        for (SimJob job : List.copyOf(waiting.values())) {
            List<Part> parts = findParts(job.spec().demand().accelerators());
            if (parts.isEmpty() && strict) {
                break;
            }
            if (!parts.isEmpty()) {
                parts.forEach(part -> freeAccelerators[part.workerIndex()] -= part.accelerators());
                running.put(job.id(), parts);
                waiting.remove(job.id());
                started.add(job.id());
            }
        }
        return new Round(started, List.of());
    }

    private List<Part> findParts(int accelerators) {
        int workerSize = workers.get(0).accelerators();
        if (accelerators <= workerSize) {
            for (int index = 0; index < freeAccelerators.length; index++) {
                if (isAvailable(index) && freeAccelerators[index] >= accelerators) {
                    return List.of(new Part(index, accelerators));
                }
            }
            return List.of();
        }
        Map<String, List<Integer>> emptyWorkersByRack = new LinkedHashMap<>();
        int neededWorkers = (accelerators + workerSize - 1) / workerSize;
        for (int index = 0; index < freeAccelerators.length; index++) {
            if (isAvailable(index) && freeAccelerators[index] == workerSize) {
                List<Integer> emptyWorkers =
                        emptyWorkersByRack.computeIfAbsent(
                                workers.get(index).rack(), rackName -> new ArrayList<>());
                emptyWorkers.add(index);
                if (emptyWorkers.size() == neededWorkers) {
                    return createGangParts(emptyWorkers, accelerators, workerSize);
                }
            }
        }
        return List.of();
    }

    private static List<Part> createGangParts(
            List<Integer> emptyWorkers, int accelerators, int workerSize) {
        List<Part> parts = new ArrayList<>();
        int remaining = accelerators;
        for (int index : emptyWorkers) {
            parts.add(new Part(index, Math.min(workerSize, remaining)));
            remaining -= workerSize;
        }
        return parts;
    }

    private boolean isAvailable(int index) {
        return !withdrawn.contains(workers.get(index).dataCentre());
    }

    @Override
    public void jobEnded(JobId job, long nowMillis) {
        running.remove(job)
                .forEach(part -> freeAccelerators[part.workerIndex()] += part.accelerators());
    }

    @Override
    public void cancel(JobId job) {
        waiting.remove(job);
    }

    @Override
    public Set<JobId> setWithdrawn(Set<DataCentreId> dataCentres) {
        withdrawn = Set.copyOf(dataCentres);
        Set<JobId> stopped = new TreeSet<>();
        new LinkedHashMap<>(running)
                .forEach(
                        (job, parts) -> {
                            if (!isAvailable(parts.get(0).workerIndex())) {
                                jobEnded(job, 0);
                                waiting.put(job, jobs.get(job));
                                stopped.add(job);
                            }
                        });
        return stopped;
    }

    @Override
    public double fragmentation() {
        int totalFree = 0;
        Map<String, Integer> emptyWorkersByRack = new LinkedHashMap<>();
        for (int index = 0; index < freeAccelerators.length; index++) {
            Worker worker = workers.get(index);
            totalFree += freeAccelerators[index];
            emptyWorkersByRack.merge(
                    worker.rack(),
                    freeAccelerators[index] == worker.accelerators() ? 1 : 0,
                    Integer::sum);
        }
        int usable =
                emptyWorkersByRack.values().stream()
                        .mapToInt(count -> count / 2 * Workload.LARGE_ACCELERATORS)
                        .sum();
        return totalFree == 0 ? 0 : 1 - usable / (double) totalFree;
    }
}
