package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Learns which kinds of tasks slow each other down where they share a worker, and the cost of
 * placing them together.
 *
 * <p>Use: {@code update} before each round; as a {@link HostCost} it counts the additional time of
 * the task that is placed and of the tasks beside which it would run. Without known pairs every
 * cost is 0.
 *
 * <p>Limits: a pair that is kept apart yields no comparisons, so it is forgotten after {@link
 * InterferenceEvidence#RETENTION_MILLIS} and has to be learnt again. How many tasks of a kind are
 * on a worker makes no difference. Not thread-safe: used only on the instance's event loop.
 */
final class Interference implements HostCost {

    /** The interval between readings of the progress, in milliseconds; half of that of reports. */
    private static final long UPDATE_INTERVAL_MILLIS = 500;

    /** The most pairs of kinds that are observed; those not compared for the longest time go. */
    private static final int MAX_PAIRS = 512;

    /** The most pairs that are kept for the log. */
    private static final int MAX_UNREPORTED_PAIRS = 32;

    private record Pair(String slowed, String slowing) {}

    /**
     * The cost of placing a task beside tasks of another kind, in shares of a run time.
     *
     * @param own the additional time of the task itself, however many there are
     * @param others the additional time of each of the others
     */
    private record Cost(double own, double others) {

        private Cost plus(Cost other) {
            return new Cost(own + other.own, others + other.others);
        }
    }

    private final SpeedComparisons comparisons = new SpeedComparisons();
    private final Map<Pair, InterferenceEvidence> pairs = new LinkedHashMap<>();
    private final List<InterferingPair> unreportedPairs = new ArrayList<>();

    /** The cost of placing a kind of tasks beside another one, by both kinds. */
    private Map<String, Map<String, Cost>> costs = Map.of();

    /** The highest cost of a worker with room that was considered for a group in this round. */
    private final Map<TaskGroup, Double> highestCosts = new HashMap<>();

    private long updatedMillis = Long.MIN_VALUE / 2;
    private int interferingPairs;
    private long avoidingStarts;

    /** Learns from the progress of the current runs, except on stragglers, and begins a round. */
    void update(Collection<WorkerState> workers, Set<WorkerId> stragglers, long nowMillis) {
        highestCosts.clear();
        if (nowMillis - updatedMillis < UPDATE_INTERVAL_MILLIS) {
            return;
        }
        updatedMillis = nowMillis;
        comparisons.update(
                workers, stragglers, nowMillis, comparison -> record(comparison, nowMillis));
        pairs.forEach(
                (pair, evidence) -> {
                    if (evidence.update(nowMillis)) {
                        report(pair, evidence, nowMillis);
                    }
                });
        pairs.values().removeIf(InterferenceEvidence::isEmpty);
        updateCosts();
    }

    /** Whether any pair is known as interfering. */
    boolean hasKnownPairs() {
        return interferingPairs > 0;
    }

    int interferingPairs() {
        return interferingPairs;
    }

    /** The starts on a worker with less interference than another one that had room. */
    long avoidingStarts() {
        return avoidingStarts;
    }

    /** The pairs that became known as interfering since the last call. */
    List<InterferingPair> takeNewPairs() {
        List<InterferingPair> taken = List.copyOf(unreportedPairs);
        unreportedPairs.clear();
        return taken;
    }

    /** Counts a start that avoided interference; called before the run is added to the worker. */
    void recordStart(TaskGroup group, WorkerState worker) {
        Double highest = highestCosts.get(group);
        if (highest != null && cost(group, worker) < highest) {
            avoidingStarts++;
        }
    }

    @Override
    public double extraTimeShare(TaskGroup group, WorkerState worker) {
        double cost = cost(group, worker);
        if (cost > 0) {
            highestCosts.merge(group, cost, Math::max);
        }
        return cost;
    }

    private double cost(TaskGroup group, WorkerState worker) {
        if (costs.isEmpty()) {
            return 0;
        }
        Map<String, Cost> byNeighbour = costs.get(comparisons.kindOf(group));
        if (byNeighbour == null) {
            return 0;
        }
        Set<String> neighbours = new HashSet<>();
        double sum = 0;
        for (Run run : worker.runs()) {
            String kind = comparisons.kindOf(run.group);
            Cost cost = byNeighbour.get(kind);
            if (cost != null && !run.isBeingStopped()) {
                sum += cost.others() + (neighbours.add(kind) ? cost.own() : 0);
            }
        }
        return sum;
    }

    void record(SpeedComparisons.Comparison comparison, long nowMillis) {
        Pair pair = new Pair(comparison.slowed(), comparison.slowing());
        // Added again, so that the first entry is the one without a comparison for longest.
        InterferenceEvidence known = pairs.remove(pair);
        InterferenceEvidence evidence = known == null ? new InterferenceEvidence() : known;
        pairs.put(pair, evidence);
        evidence.add(comparison.worker(), comparison.logSlowdown(), nowMillis);
        if (pairs.size() > MAX_PAIRS) {
            pairs.remove(pairs.keySet().iterator().next());
        }
    }

    private void report(Pair pair, InterferenceEvidence evidence, long nowMillis) {
        if (unreportedPairs.size() < MAX_UNREPORTED_PAIRS) {
            unreportedPairs.add(
                    new InterferingPair(
                            pair.slowed(),
                            pair.slowing(),
                            (int) Math.round(100 * evidence.extraTimeShare()),
                            evidence.sampleCount(),
                            evidence.workerCount(),
                            evidence.ageMillis(nowMillis)));
        }
    }

    private void updateCosts() {
        Map<String, Map<String, Cost>> updated = new HashMap<>();
        interferingPairs = 0;
        for (Map.Entry<Pair, InterferenceEvidence> entry : pairs.entrySet()) {
            if (entry.getValue().isInterfering()) {
                interferingPairs++;
                Pair pair = entry.getKey();
                double share = entry.getValue().extraTimeShare();
                addCost(updated, pair.slowed(), pair.slowing(), new Cost(share, 0));
                addCost(updated, pair.slowing(), pair.slowed(), new Cost(0, share));
            }
        }
        costs = updated;
    }

    private static void addCost(
            Map<String, Map<String, Cost>> costs, String placed, String neighbour, Cost cost) {
        costs.computeIfAbsent(placed, kind -> new HashMap<>()).merge(neighbour, cost, Cost::plus);
    }
}
