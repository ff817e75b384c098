package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.CompletedSteps;
import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which steps of a job are done, in each of its occurrences. Memory is needed only for occurrences
 * that are partly done, and a bit for each other one.
 */
final class StepCompletion {

    private final int stepCount;
    private final BitSet doneOccurrences = new BitSet();

    /** The done steps of occurrences that are partly done. */
    private final Map<Integer, BitSet> doneSteps = new TreeMap<>();

    StepCompletion(int stepCount, CompletedSteps stored) {
        this.stepCount = stepCount;
        doneOccurrences.set(0, stored.firstOpen());
        stored.laterDone().stream()
                .forEach(distance -> doneOccurrences.set(stored.firstOpen() + distance));
        stored.stepsDone()
                .forEach(
                        (occurrence, steps) ->
                                steps.stream().forEach(step -> markDone(occurrence, step)));
    }

    void markDone(int occurrence, int step) {
        if (doneOccurrences.get(occurrence)) {
            return;
        }
        BitSet steps = doneSteps.computeIfAbsent(occurrence, key -> new BitSet(stepCount));
        steps.set(step);
        if (steps.cardinality() == stepCount) {
            doneSteps.remove(occurrence);
            doneOccurrences.set(occurrence);
        }
    }

    boolean isDone(int occurrence, int step) {
        if (doneOccurrences.get(occurrence)) {
            return true;
        }
        BitSet steps = doneSteps.get(occurrence);
        return steps != null && steps.get(step);
    }

    /** The first occurrence at or after the given one that isn't done. */
    int nextOpen(int occurrence) {
        return doneOccurrences.nextClearBit(occurrence);
    }

    CompletedSteps toRecord() {
        int firstOpen = nextOpen(0);
        BitSet laterDone =
                doneOccurrences.get(firstOpen, Math.max(firstOpen, doneOccurrences.length()));
        Map<Integer, BitSet> stepsDone = new TreeMap<>();
        doneSteps.forEach((occurrence, steps) -> stepsDone.put(occurrence, (BitSet) steps.clone()));
        return new CompletedSteps(firstOpen, laterDone, stepsDone);
    }
}
