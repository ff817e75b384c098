package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.TaskSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The task intents of one job: the tasks recorded in the store as possibly having runs.
 *
 * <p>After a change of scheduler a worker may be unresponsive. Only tasks that an earlier scheduler
 * may have started have to wait for it; all others start at once. This requires that no task starts
 * before it is in a stored record. Each record has some waiting tasks in advance, so that their
 * starts needn't wait for the store.
 *
 * <p>Limits: while several records are in flight, any of them may become the newest stored one, so
 * only tasks that are in all of them count as recorded.
 */
final class TaskIntents {

    /**
     * The waiting tasks in a record in advance: as many as may start while a record is being
     * stored. A gang counts as one.
     */
    private static final int MAX_IN_ADVANCE = 8;

    /** The same before a job's first start, so that a successor can start most tasks at once. */
    private static final int MAX_IN_ADVANCE_BEFORE_START = 2;

    private final TaskSet inherited;
    private final Map<TaskGroup, BitSet> requested = new HashMap<>();
    private TaskSet confirmed;
    private TaskSet latest;
    private int inFlight;

    /**
     * Creates the intents of a job.
     *
     * @param stored the tasks in the stored record, empty if none is stored
     */
    TaskIntents(Optional<TaskSet> stored) {
        this.inherited = stored.orElse(TaskSet.NONE);
        this.confirmed = inherited;
        this.latest = inherited;
    }

    /** The tasks that an earlier scheduler may have started. */
    TaskSet inherited() {
        return inherited;
    }

    /** Whether an earlier scheduler may have started a task. */
    boolean isInherited(TaskGroup group, int index) {
        return inherited.contains(group.occurrence(), group.step(), index);
    }

    /** Whether all these tasks are recorded, so that they may start. */
    boolean covers(TaskGroup group, Collection<Integer> tasks) {
        return confirmed.containsAll(group.occurrence(), group.step(), bits(tasks));
    }

    /** Adds tasks of a group; returns whether a record has to be sent for them. */
    boolean add(TaskGroup group, Collection<Integer> tasks) {
        BitSet added = bits(tasks);
        requested.computeIfAbsent(group, key -> new BitSet()).or(added);
        return !latest.containsAll(group.occurrence(), group.step(), added);
    }

    /**
     * Returns the tasks for a record that is sent now: those with runs, those that were added and
     * are still waiting, and some that are next. Until all workers have reported, those that an
     * earlier scheduler may have started are included.
     */
    TaskSet nextRecord(Collection<TaskGroup> groups, boolean allReported) {
        boolean hasRuns = groups.stream().anyMatch(group -> !group.runs().isEmpty());
        int inAdvance = hasRuns ? MAX_IN_ADVANCE : MAX_IN_ADVANCE_BEFORE_START;
        List<TaskSet.StepTasks> steps = new ArrayList<>();
        for (TaskGroup group : groups) {
            boolean isOver = group.isDone() || group.owner().isEnded();
            List<Integer> waiting = isOver ? List.of() : group.waitingTasks();
            int unitSize = group.isPlacedTogether() ? group.spec().count() : 1;
            int units = Math.min(inAdvance, waiting.size() / unitSize);
            inAdvance -= units;
            BitSet tasks = bits(waiting);
            tasks.and(requested.getOrDefault(group, new BitSet()));
            waiting.subList(0, units * unitSize).forEach(tasks::set);
            group.runs().forEach(run -> tasks.set(run.task.index()));
            if (!tasks.isEmpty()) {
                steps.add(new TaskSet.StepTasks(group.occurrence(), group.step(), tasks));
            }
        }
        requested.clear();
        TaskSet own = new TaskSet(false, steps);
        latest = allReported ? own : own.union(inherited);
        confirmed = confirmed.intersection(latest);
        inFlight++;
        return latest;
    }

    /** Records that the oldest record in flight is stored. */
    void confirmOldestRecord() {
        inFlight--;
        if (inFlight == 0) {
            confirmed = latest;
        }
    }

    private static BitSet bits(Collection<Integer> tasks) {
        BitSet bits = new BitSet();
        tasks.forEach(bits::set);
        return bits;
    }
}
