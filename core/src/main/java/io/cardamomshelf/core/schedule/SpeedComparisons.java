package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.SpeedTrace.Segment;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Compares the speed of tasks with and without another kind of tasks beside them.
 *
 * <p>The speed of a worker and the work of a step are factored out, as only these are compared: the
 * same run before and after a change of what runs beside it, or the first speeds of two runs of the
 * same step on the same worker. Each first speed is used once, so that comparisons are independent.
 * Gangs run at the speed of their slowest member, so all of their workers count, and only the same
 * run is compared.
 */
final class SpeedComparisons {

    /**
     * A comparison.
     *
     * @param slowed the kind that is compared
     * @param slowing the kind that was beside it at one of two times
     * @param worker where it was
     * @param logSlowdown the logarithm of how many times slower it was, negative if it was faster
     */
    record Comparison(String slowed, String slowing, WorkerId worker, double logSlowdown) {}

    /** The runs that are comparable: those of a step on one incarnation of a worker. */
    private record Place(TaskGroup group, WorkerId worker, long bornMillis) {}

    private static final class TracedRun {
        private final SpeedTrace trace = new SpeedTrace();
        private Optional<Segment> last = Optional.empty();
    }

    /** The steps and workers of which first speeds are kept; some for each of 250 workers. */
    private static final int MAX_PLACES = 4_096;

    /** The first speeds that are kept for a step on a worker. */
    private static final int MAX_FIRST_SEGMENTS = 4;

    private final Map<Run, TracedRun> tracedRuns = new HashMap<>();
    private final Map<Place, List<Segment>> firstSegments = new LinkedHashMap<>();
    private final Map<TaskGroup, String> kinds = new HashMap<>();

    String kindOf(TaskGroup group) {
        return kinds.computeIfAbsent(group, TaskKind::of);
    }

    /** Reads the progress of all runs, and passes on the comparisons that it allows. */
    void update(
            Collection<WorkerState> workers,
            Set<WorkerId> stragglers,
            long nowMillis,
            Consumer<Comparison> consumer) {
        Map<WorkerId, Map<String, Integer>> kindCounts = new HashMap<>();
        List<Run> runs = new ArrayList<>();
        for (WorkerState worker : workers) {
            kindCounts.put(worker.id(), countKinds(worker, runs));
        }
        Set<TaskGroup> groups = new HashSet<>();
        runs.forEach(run -> groups.add(run.group));
        Set<Run> comparable = new HashSet<>();
        for (Run run : runs) {
            List<Run> members = membersIfComparable(run);
            if (!members.isEmpty()
                    && members.stream().noneMatch(r -> stragglers.contains(r.worker.id()))) {
                comparable.add(run);
                trace(run, neighbours(members, kindCounts), nowMillis, consumer);
            }
        }
        tracedRuns.keySet().retainAll(comparable);
        kinds.keySet().retainAll(groups);
        firstSegments
                .values()
                .removeIf(
                        segments ->
                                nowMillis - segments.get(segments.size() - 1).endMillis()
                                        > InterferenceEvidence.RETENTION_MILLIS);
    }

    /** Counts the started runs of a worker by kind, and adds them to a list. */
    private Map<String, Integer> countKinds(WorkerState worker, List<Run> runs) {
        Map<String, Integer> counts = new HashMap<>();
        for (Run run : worker.runs()) {
            if (run.phase != Run.Phase.ORDERED) {
                counts.merge(kindOf(run.group), 1, Integer::sum);
                runs.add(run);
            }
        }
        return counts;
    }

    /**
     * The runs whose speed a run stands for: itself, or all members of its gang for the first of
     * them; none if its speed can't be measured.
     */
    private static List<Run> membersIfComparable(Run run) {
        if (run.phase != Run.Phase.RUNNING) {
            return List.of();
        }
        if (!run.group.spec().gang()) {
            return List.of(run);
        }
        Collection<Run> members = run.group.runs();
        boolean whole =
                members.size() == run.group.spec().count()
                        && members.stream().allMatch(r -> r.phase == Run.Phase.RUNNING);
        return run.task.index() == 0 && whole ? List.copyOf(members) : List.of();
    }

    /** The kinds of the other tasks on the workers of a run or of a gang's members. */
    private Set<String> neighbours(
            List<Run> members, Map<WorkerId, Map<String, Integer>> kindCounts) {
        if (members.size() == 1) {
            return neighbours(members.get(0), 1, kindCounts);
        }
        Map<WorkerId, List<Run>> byWorker =
                members.stream().collect(Collectors.groupingBy(run -> run.worker.id()));
        Set<String> union = new HashSet<>();
        byWorker.values()
                .forEach(runs -> union.addAll(neighbours(runs.get(0), runs.size(), kindCounts)));
        return union;
    }

    /** The kinds on a run's worker, apart from its own if only the given number of runs has it. */
    private Set<String> neighbours(
            Run run, int ownCount, Map<WorkerId, Map<String, Integer>> kindCounts) {
        Map<String, Integer> counts = kindCounts.getOrDefault(run.worker.id(), Map.of());
        String ownKind = kindOf(run.group);
        if (counts.getOrDefault(ownKind, 0) > ownCount) {
            return counts.keySet();
        }
        Set<String> others = new HashSet<>(counts.keySet());
        others.remove(ownKind);
        return others;
    }

    private void trace(
            Run run, Set<String> neighbours, long nowMillis, Consumer<Comparison> consumer) {
        TracedRun traced = tracedRuns.computeIfAbsent(run, key -> new TracedRun());
        traced.trace.observeNeighbours(neighbours, nowMillis);
        long sampleMillis = run.progress.latestMillis();
        Optional<Segment> measured =
                run.group.spec().longRunning()
                        ? traced.trace.addLatency(run.measurement, sampleMillis)
                        : traced.trace.addPercent(run.progress.percent(), sampleMillis);
        measured.ifPresent(
                segment -> {
                    traced.last.ifPresentOrElse(
                            earlier -> compare(run, earlier, segment, consumer),
                            () -> compareWithOtherRuns(run, segment, consumer));
                    traced.last = measured;
                });
    }

    /** Compares the first speed of a run with that of another run of its step on its worker. */
    private void compareWithOtherRuns(Run run, Segment segment, Consumer<Comparison> consumer) {
        if (run.group.spec().gang()) {
            return;
        }
        Place place = new Place(run.group, run.worker.id(), run.worker.info().bornMillis());
        List<Segment> others = firstSegments.computeIfAbsent(place, key -> new ArrayList<>());
        for (Iterator<Segment> iterator = others.iterator(); iterator.hasNext(); ) {
            if (compare(run, iterator.next(), segment, consumer)) {
                iterator.remove();
                if (others.isEmpty()) {
                    firstSegments.remove(place);
                }
                return;
            }
        }
        others.add(segment);
        if (others.size() > MAX_FIRST_SEGMENTS) {
            others.remove(0);
        }
        if (firstSegments.size() > MAX_PLACES) {
            firstSegments.remove(firstSegments.keySet().iterator().next());
        }
    }

    /** Passes on a comparison if the segments differ by one kind; returns whether they do. */
    private boolean compare(
            Run run, Segment earlier, Segment later, Consumer<Comparison> consumer) {
        Optional<String> difference = later.differenceTo(earlier);
        difference.ifPresent(
                kind -> {
                    double change = later.logSpeed() - earlier.logSpeed();
                    boolean arrived = later.neighbours().contains(kind);
                    consumer.accept(
                            new Comparison(
                                    kindOf(run.group),
                                    kind,
                                    run.worker.id(),
                                    arrived ? -change : change));
                });
        return difference.isPresent();
    }
}
