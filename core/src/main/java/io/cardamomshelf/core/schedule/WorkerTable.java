package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The workers and their runs, updated from the workers' lists.
 *
 * <p>A run is removed when its end is listed, when it is missing from a list that was requested
 * after the worker last answered an order for it, or when the incarnation that listed it has ended.
 * An incarnation may have answered orders before its registry entry or its lists reveal it, so a
 * run that no incarnation has listed may be on the new one.
 */
final class WorkerTable {

    private final LiveJobTable jobs;
    private final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();
    private final Set<WorkerId> unreported = new LinkedHashSet<>();
    private final OrphanedRuns orphans = new OrphanedRuns();
    private final List<Run> completedRuns = new ArrayList<>();

    /** Removed runs whose start got no answer and may be carried out by a restarted worker. */
    private final Set<Run> lateStarts = new LinkedHashSet<>();

    WorkerTable(LiveJobTable jobs) {
        this.jobs = jobs;
    }

    Collection<WorkerState> all() {
        return workers.values();
    }

    Optional<WorkerState> find(WorkerId id) {
        return Optional.ofNullable(workers.get(id));
    }

    Set<WorkerId> unreported() {
        return unreported;
    }

    OrphanedRuns orphans() {
        return orphans;
    }

    /** Returns the runs that have completed their task, or gang, since the last call. */
    List<Run> takeCompletedRuns() {
        List<Run> completed = List.copyOf(completedRuns);
        completedRuns.clear();
        return completed;
    }

    /**
     * Adds or updates a worker, unless the entry was born before its current incarnation. An
     * inherited worker may have runs that an earlier scheduler started.
     */
    void put(WorkerInfo info, boolean inherited) {
        WorkerState state = workers.get(info.id());
        if (state == null) {
            workers.put(info.id(), new WorkerState(info));
            if (inherited) {
                unreported.add(info.id());
            }
            return;
        }
        if (info.bornMillis() >= state.info().bornMillis()) {
            beginIncarnation(state, info.bornMillis());
            state.update(info);
        }
    }

    /** Begins an incarnation, unless it is the current one. */
    void beginIncarnation(WorkerState worker, long bornMillis) {
        if (bornMillis == worker.info().bornMillis()) {
            return;
        }
        worker.beginIncarnation(bornMillis);
        for (Run run : worker.runs()) {
            if (run.mayBeOnNewIncarnation()) {
                run.beginIncarnation();
            } else {
                remove(run);
            }
        }
    }

    void remove(WorkerId id) {
        WorkerState state = workers.get(id);
        if (state == null) {
            return;
        }
        state.markUnregistered();
        if (state.isIdle() && !unreported.contains(id) && !orphans.hasAny(id)) {
            workers.remove(id);
        }
    }

    void markLost(WorkerId id, long unansweredBeforeMillis) {
        WorkerState state = workers.get(id);
        unreported.remove(id);
        jobs.markReported(id, Set.of());
        if (state == null) {
            return;
        }
        state.runs().stream()
                .filter(run -> !run.isUnansweredSince(unansweredBeforeMillis))
                .forEach(this::remove);
        orphans.clear(id);
        if (!state.isRegistered() && state.isIdle()) {
            workers.remove(id);
        }
    }

    void updateRuns(
            WorkerState worker,
            WorkerLists lists,
            long sentMillis,
            boolean complete,
            ClockReading now) {
        if (lists.bornMillis() < worker.info().bornMillis()) {
            return;
        }
        beginIncarnation(worker, lists.bornMillis());
        worker.unresponsive = false;
        worker.reported = true;
        unreported.remove(worker.id());
        lists.ended().forEach(ended -> recordEnd(worker, ended, now));
        List<WorkerLists.Running> orphanedRuns =
                lists.running().stream()
                        .filter(running -> !updateOrAdopt(worker, running, now))
                        .toList();
        orphans.replace(worker.id(), orphanedRuns);
        jobs.markReported(
                worker.id(),
                orphanedRuns.stream().map(run -> run.task().job()).collect(Collectors.toSet()));
        if (complete) {
            removeAbsentRuns(worker, lists, sentMillis);
        }
    }

    /**
     * Removes the runs of unresponsive workers that have certainly ended, so that their gangs can
     * start again before the leases there expire.
     */
    void removeEndedGangMembers() {
        for (WorkerState worker : workers.values()) {
            if (worker.unresponsive && !worker.isIdle()) {
                worker.runs().stream()
                        .filter(run -> run.group.haveRemainingMembersEnded())
                        .toList()
                        .forEach(this::remove);
            }
        }
    }

    void confirmStart(Run run, ClockReading now) {
        run.answeredMillis = now.monotonicMillis();
        if (run.phase == Run.Phase.ORDERED) {
            run.phase = Run.Phase.RUNNING;
        }
        if (run.group.owner().markRunning()) {
            jobs.markChanged(run.task.job());
        }
    }

    /** The removed runs whose start may still be carried out. */
    Collection<Run> lateStarts(ClockReading now) {
        lateStarts.removeIf(run -> !run.mayStillStart(now.monotonicMillis()));
        return lateStarts;
    }

    void remove(Run run) {
        run.worker.removeRun(run);
        run.group.removeRun(run);
        if (run.wasUnanswered()) {
            lateStarts.removeIf(earlier -> !earlier.mayStillStart(run.unansweredMillis()));
            lateStarts.add(run);
        }
    }

    Optional<Run> find(Order order) {
        return find(order.worker()).flatMap(worker -> worker.run(order.task(), order.run()));
    }

    /** Updates or adopts a run that a worker lists; returns false if no live job needs it. */
    private boolean updateOrAdopt(
            WorkerState worker, WorkerLists.Running running, ClockReading now) {
        Optional<Run> known = worker.run(running.task(), running.run());
        Run run = known.or(() -> adopt(worker, running, now)).orElse(null);
        if (run == null) {
            return false;
        }
        if (run.phase == Run.Phase.ORDERED) {
            confirmStart(run, now);
        }
        run.listed = true;
        run.measurement = running.measurement();
        run.progress.addSample(running.percent(), now.monotonicMillis());
        run.group.saveCheckpoint(running.task().index(), running.checkpoint());
        return true;
    }

    private Optional<Run> adopt(WorkerState worker, WorkerLists.Running running, ClockReading now) {
        TaskId task = running.task();
        return jobs.find(task.job())
                .filter(job -> !job.isEnded())
                .flatMap(job -> job.group(task, now.wallMillis()))
                .filter(group -> group.isAdoptable(task.index(), running.run()))
                .map(group -> new Run(task, running.run(), worker, group, now.monotonicMillis()))
                .map(WorkerTable::add);
    }

    private static Run add(Run run) {
        run.group.addRun(run);
        run.worker.addRun(run);
        return run;
    }

    private void recordEnd(WorkerState worker, WorkerLists.Ended ended, ClockReading now) {
        if (!worker.advanceLastEnd(ended.number())) {
            return;
        }
        worker.run(ended.task(), ended.run()).ifPresent(run -> end(run, ended.end(), now));
        jobs.find(ended.task().job())
                .flatMap(job -> job.group(ended.task(), now.wallMillis()))
                .ifPresent(group -> updateProgress(worker, group, ended, now));
        if (ended.end() == RunEnd.DONE) {
            worker.recordSuccess();
        } else if (ended.end() == RunEnd.FAILED) {
            worker.recordFailure(ended.task(), now.monotonicMillis());
        }
    }

    private void end(Run run, RunEnd end, ClockReading now) {
        if (end == RunEnd.DONE) {
            run.progress.addSample(Run.COMPLETE_PERCENT, now.monotonicMillis());
            run.endedNonLocal = LocalityPolicy.isNonLocal(run);
            if (!run.group.isDone()) {
                completedRuns.add(run);
            }
        }
        remove(run);
    }

    private void updateProgress(
            WorkerState worker, TaskGroup group, WorkerLists.Ended ended, ClockReading now) {
        if (ended.end() == RunEnd.FAILED) {
            group.avoidWorker(worker.id(), now.monotonicMillis());
        }
        if (ended.end() == RunEnd.BROKEN) {
            group.recordBrokenMember(ended.run());
        }
        boolean saved = group.saveCheckpoint(ended.task().index(), ended.checkpoint());
        boolean counted = group.recordEnd(ended.task(), ended.run(), ended.end());
        if ((saved || counted) && !group.owner().isEnded()) {
            group.owner().markRunning();
            jobs.markChanged(ended.task().job());
        }
    }

    private void removeAbsentRuns(WorkerState worker, WorkerLists lists, long sentMillis) {
        Set<RunKey> listed = new HashSet<>();
        lists.running().forEach(row -> listed.add(new RunKey(row.task(), row.run())));
        for (Run run : worker.runs()) {
            boolean absent = !listed.contains(new RunKey(run.task, run.number));
            if (absent && run.isAnsweredBefore(sentMillis)) {
                remove(run);
            }
        }
    }
}
