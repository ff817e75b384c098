package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The use of the accelerators of the registered workers, and the demand that waits for them.
 *
 * <p>Use: {@code SchedulerState.load(now)} after a round. If work waits although {@code free} is
 * much higher than {@code held}, it waits for something other than capacity. Free accelerators are
 * of no use to it if they are on workers whose memory or cores are in use; free memory and idle
 * workers show that.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accelerators those of all workers that accept starts
 * @param free those of them that no run uses
 * @param freeMemoryMb the memory of these workers that no run uses, in megabytes
 * @param idleWorkers those of these workers that have no run
 * @param held the free accelerators that the last round held or reserved for waiting work
 * @param running the accelerators of runs that aren't being stopped, by priority of their queue
 * @param waiting the accelerators of tasks that could start now, by priority of their queue; those
 *     of jobs that wait for a cap aren't included
 * @param groupsOverCap how many groups of tasks waited for the cap of their organisation in the
 *     last round
 * @param organisations the accelerators of the organisations that have a cap
 */
public record FleetLoad(
        int accelerators,
        int free,
        long freeMemoryMb,
        int idleWorkers,
        int held,
        Map<Integer, Integer> running,
        Map<Integer, Integer> waiting,
        int groupsOverCap,
        Map<OrganisationId, Quota> organisations) {

    /** The load of no workers. */
    public static final FleetLoad NONE =
            new FleetLoad(0, 0, 0, 0, 0, Map.of(), Map.of(), 0, Map.of());

    /**
     * The accelerators of an organisation.
     *
     * @param used those of the tasks that may be running
     * @param cap the most that it may have running, 0 if that is unlimited
     */
    public record Quota(int used, int cap) {

        /** No tasks and no cap. */
        public static final Quota NONE = new Quota(0, 0);
    }

    /** Creates a load. */
    public FleetLoad {
        running = Collections.unmodifiableMap(new TreeMap<>(running));
        waiting = Collections.unmodifiableMap(new TreeMap<>(waiting));
        organisations = Map.copyOf(organisations);
    }

    static FleetLoad of(
            SchedulerState state,
            Collection<LiveJob> jobs,
            int held,
            int groupsOverCap,
            ClockReading now) {
        int accelerators = 0;
        int free = 0;
        long freeMemoryMb = 0;
        int idleWorkers = 0;
        Map<Integer, Integer> running = new HashMap<>();
        for (WorkerState worker : state.workers()) {
            if (worker.acceptsStarts(now.monotonicMillis())) {
                accelerators += worker.info().capacity().accelerators();
                free += Math.max(0, worker.free().accelerators());
                freeMemoryMb += Math.max(0, worker.free().memoryMb());
                idleWorkers += worker.isIdle() ? 1 : 0;
            }
            for (Run run : worker.runs()) {
                if (!run.isBeingStopped()) {
                    int priority = state.policy(run.group.owner()).priority();
                    running.merge(priority, run.group.spec().demand().accelerators(), Integer::sum);
                }
            }
        }
        return new FleetLoad(
                accelerators,
                free,
                freeMemoryMb,
                idleWorkers,
                held,
                running,
                waiting(state, jobs),
                groupsOverCap,
                quotas(state.organisations(), now));
    }

    private static Map<OrganisationId, Quota> quotas(
            OrganisationTable organisations, ClockReading now) {
        OrganisationUsage usage = organisations.usage(now);
        Map<OrganisationId, Quota> quotas = new HashMap<>();
        organisations
                .limits()
                .forEach(
                        (organisation, limits) -> {
                            if (limits.hasCap()) {
                                int used = usage.of(organisation).accelerators();
                                int cap = limits.cap().accelerators();
                                quotas.put(organisation, new Quota(used, cap));
                            }
                        });
        return quotas;
    }

    private static Map<Integer, Integer> waiting(SchedulerState state, Collection<LiveJob> jobs) {
        Map<Integer, Integer> waiting = new HashMap<>();
        for (LiveJob job : jobs) {
            if (job.isEnded() || state.waitReasons().get(job.job().id()) == WaitReason.OVER_CAP) {
                continue;
            }
            for (TaskGroup group : job.groups()) {
                int needed = group.waitingTasks().size() * group.spec().demand().accelerators();
                if (needed > 0) {
                    waiting.merge(state.policy(job).priority(), needed, Integer::sum);
                }
            }
        }
        return waiting;
    }
}
