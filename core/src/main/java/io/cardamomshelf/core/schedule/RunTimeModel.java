package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns by queue and shape of the step how run times compare with callers' estimates.
 *
 * <p>A job counts once, however many tasks its step has, as these share an estimate. A shape with
 * too few samples uses those of its queue. Estimates are used unchanged until run times are
 * predicted clearly better from samples.
 *
 * <p>Limits: keeps the shapes that were used last. Runs outside their preferred rack are left out,
 * as the platform slows them down. Not thread-safe: used only on the instance's event loop.
 */
final class RunTimeModel {

    /** The most shapes that are kept, with those of whole queues; each takes some 200 bytes. */
    static final int MAX_SHAPES = 256;

    /** The most errors that are kept until they are taken. */
    private static final int MAX_ERRORS = 1_024;

    private static final int PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /**
     * Steps that are likely to have similar run times.
     *
     * @param demand the demand of a task, {@code Resources.NONE} for the whole queue
     */
    private record Shape(String queue, Resources demand, boolean gang) {

        static Shape of(TaskGroup group) {
            return new Shape(queueOf(group), group.spec().demand(), group.spec().gang());
        }

        static Shape ofQueue(TaskGroup group) {
            return new Shape(queueOf(group), Resources.NONE, false);
        }

        private static String queueOf(TaskGroup group) {
            return group.owner().job().queue().name();
        }
    }

    private final Map<Shape, RunTimeFit> fits;
    private final Deque<EstimationError> errors = new ArrayDeque<>();

    /**
     * Creates a model without samples.
     *
     * @param maxShapes the most shapes that are kept, 0 to learn nothing
     */
    RunTimeModel(int maxShapes) {
        this.fits =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Shape, RunTimeFit> eldest) {
                        return size() > maxShapes;
                    }
                };
    }

    /** Takes samples from completed runs, and sets the expected run times of waiting work. */
    void update(Collection<LiveJob> jobs, Collection<Run> completedRuns, long nowMillis) {
        completedRuns.forEach(run -> add(run, nowMillis));
        for (LiveJob job : jobs) {
            for (TaskGroup group : job.groups()) {
                if (group.hasEstimate() && !group.isDone()) {
                    group.setExpectedMillis(expectedMillis(group, nowMillis));
                }
            }
        }
    }

    /** Returns the errors of estimates since the last call. */
    List<EstimationError> takeErrors() {
        List<EstimationError> taken = List.copyOf(errors);
        errors.clear();
        return taken;
    }

    /** The run time of a task by its estimate and by what was learnt, in milliseconds. */
    private long expectedMillis(TaskGroup group, long nowMillis) {
        long estimateMillis = group.spec().estimateMillis();
        RunTimeFit fit = usableFit(Shape.of(group), nowMillis);
        if (fit == null) {
            fit = usableFit(Shape.ofQueue(group), nowMillis);
        }
        return fit == null
                ? estimateMillis
                : Math.round(Math.exp(fit.expected(Math.log(estimateMillis))));
    }

    private RunTimeFit usableFit(Shape shape, long nowMillis) {
        RunTimeFit fit = fits.get(shape);
        if (fit == null) {
            return null;
        }
        fit.decayTo(nowMillis);
        return fit.isBetterThanEstimates() ? fit : null;
    }

    private void add(Run run, long nowMillis) {
        double millis = runMillis(run, nowMillis);
        if (millis <= 0 || !run.group.hasEstimate() || run.endedNonLocal) {
            return;
        }
        long estimateMillis = run.group.spec().estimateMillis();
        double estimate = Math.log(estimateMillis);
        double weight = run.group.spec().gang() ? 1 : 1.0 / run.group.spec().count();
        fit(Shape.of(run.group)).add(estimate, Math.log(millis), weight, nowMillis);
        fit(Shape.ofQueue(run.group)).add(estimate, Math.log(millis), weight, nowMillis);
        if (errors.size() < MAX_ERRORS) {
            long percent = Math.round(PERCENT * Math.abs(estimateMillis - millis) / millis);
            errors.add(new EstimationError(run.group.owner().job().queue().name(), percent));
        }
    }

    private RunTimeFit fit(Shape shape) {
        return fits.computeIfAbsent(shape, key -> new RunTimeFit());
    }

    /**
     * The whole run time of a completed task, 0 if it isn't known. It follows from the listed
     * progress, as a run may have begun with a checkpoint or under an earlier scheduler. A run that
     * was never listed has neither.
     */
    private static double runMillis(Run run, long nowMillis) {
        double percentPerSecond = run.progress.averagePercentPerSecond();
        if (percentPerSecond > 0) {
            return MILLIS_PER_SECOND * PERCENT / percentPerSecond;
        }
        boolean known = !run.listed && !run.group.spec().checkpointing();
        return known ? Math.max(1, nowMillis - run.orderedMillis) : 0;
    }
}
