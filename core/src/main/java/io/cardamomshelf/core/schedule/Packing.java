package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Assigns tasks of one group to the workers of one set, each to the worker with the lowest cost.
 *
 * <p>What the choice compares is computed once per worker, as a round packs many groups.
 */
final class Packing {

    private final List<WorkerState> workers = new ArrayList<>();
    private final double[] freeShares;
    private final double[] demandShares;
    private final double[] extraTimes;
    private final int[] fitting;
    private int fittingTotal;

    /** Creates a packing onto those of the workers on which a task of the group fits. */
    Packing(List<WorkerState> candidates, TaskGroup group, RoundCapacity capacity, HostCost cost) {
        freeShares = new double[candidates.size()];
        demandShares = new double[candidates.size()];
        extraTimes = new double[candidates.size()];
        fitting = new int[candidates.size()];
        for (WorkerState worker : candidates) {
            Resources free = capacity.freeFor(group, worker);
            int fittingHere = TaskPlacer.fittingTasks(worker, group, free);
            if (fittingHere > 0) {
                int i = workers.size();
                workers.add(worker);
                fitting[i] = fittingHere;
                fittingTotal += fittingHere;
                freeShares[i] = summedShares(free, worker);
                demandShares[i] = summedShares(group.spec().allocation(), worker);
                extraTimes[i] = cost.extraTimeShare(group, worker);
            }
        }
    }

    boolean fits(int count) {
        return fittingTotal >= count;
    }

    /**
     * The lowest additional run time of a gang's slowest member with which all of its tasks fit.
     */
    double lowestExtraTime(int count) {
        double[] sorted = Arrays.copyOf(extraTimes, workers.size());
        Arrays.sort(sorted);
        int low = 0;
        int high = sorted.length - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (fittingWithin(sorted[middle]) >= count) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return sorted[low];
    }

    private int fittingWithin(double maxExtraTime) {
        int sum = 0;
        for (int i = 0; i < workers.size(); i++) {
            sum += extraTimes[i] <= maxExtraTime ? fitting[i] : 0;
        }
        return sum;
    }

    /**
     * Chooses a worker for each task, which must fit.
     *
     * @param maxExtraTime the highest additional run time of a chosen worker
     * @param extraTimeWeight the share of a worker's capacity that may be left for a worker with an
     *     additional run time that is lower by all of a run time; negative to prefer slow workers
     */
    List<WorkerState> choose(int count, double maxExtraTime, double extraTimeWeight) {
        int[] assigned = new int[workers.size()];
        List<WorkerState> hosts = new ArrayList<>(count);
        for (int task = 0; task < count; task++) {
            int best = -1;
            double lowestCost = Double.MAX_VALUE;
            for (int i = 0; i < assigned.length; i++) {
                if (assigned[i] < fitting[i] && extraTimes[i] <= maxExtraTime) {
                    double leftover = freeShares[i] - (assigned[i] + 1) * demandShares[i];
                    double cost = leftover + extraTimeWeight * extraTimes[i];
                    if (cost < lowestCost) {
                        best = i;
                        lowestCost = cost;
                    }
                }
            }
            assigned[best]++;
            hosts.add(workers.get(best));
        }
        return hosts;
    }

    private static double summedShares(Resources amount, WorkerState worker) {
        Resources total = worker.info().capacity();
        return share(amount.cpuMillis(), total.cpuMillis())
                + share(amount.memoryMb(), total.memoryMb())
                + share(amount.accelerators(), total.accelerators());
    }

    private static double share(long amount, long total) {
        return total == 0 ? 0 : (double) amount / total;
    }
}
