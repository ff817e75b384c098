package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
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
 * The workers and their runs, kept in line with what the workers list.
 *
 * <p>A run is dropped when its end is listed, when a list that was asked for after its last answer
 * lacks it, or when its worker's incarnation is over.
 */
final class WorkerTable {

    private record RunKey(TaskId task, long number) {}

    private final LiveJobTable jobs;
    private final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();
    private final Set<WorkerId> unseen = new LinkedHashSet<>();
    private final OrphanedRuns strays = new OrphanedRuns();

    WorkerTable(LiveJobTable jobs) {
        this.jobs = jobs;
    }

    Collection<WorkerState> all() {
        return workers.values();
    }

    Optional<WorkerState> find(WorkerId id) {
        return Optional.ofNullable(workers.get(id));
    }

    Set<WorkerId> unseen() {
        return unseen;
    }

    OrphanedRuns strays() {
        return strays;
    }

    /** Takes a registry entry; an inherited worker may have runs of an earlier scheduler. */
    void put(WorkerInfo info, boolean inherited) {
        WorkerState state = workers.get(info.id());
        if (state == null) {
            workers.put(info.id(), new WorkerState(info));
            if (inherited) {
                unseen.add(info.id());
            }
            return;
        }
        if (info.bornMillis() >= state.info().bornMillis()) {
            reincarnate(state, info.bornMillis());
            state.update(info);
        }
    }

    void remove(WorkerId id) {
        WorkerState state = workers.get(id);
        if (state == null) {
            return;
        }
        state.unlist();
        if (state.isIdle() && !unseen.contains(id)) {
            workers.remove(id);
        }
    }

    void lose(WorkerId id) {
        WorkerState state = workers.get(id);
        unseen.remove(id);
        jobs.accountedFor(id, Set.of());
        if (state == null) {
            return;
        }
        state.runs().forEach(this::remove);
        strays.clear(id);
        if (!state.isListed()) {
            workers.remove(id);
        }
    }

    void report(
            WorkerState worker,
            WorkerLists lists,
            long askedMillis,
            boolean whole,
            ClockReading now) {
        reincarnate(worker, lists.bornMillis());
        worker.silent = false;
        worker.reported = true;
        unseen.remove(worker.id());
        lists.ended().forEach(ended -> end(worker, ended, now));
        List<WorkerLists.Running> unwanted =
                lists.running().stream().filter(running -> !see(worker, running, now)).toList();
        strays.replace(worker.id(), unwanted);
        jobs.accountedFor(
                worker.id(),
                unwanted.stream().map(run -> run.task().job()).collect(Collectors.toSet()));
        if (whole) {
            dropAbsent(worker, lists, askedMillis);
        }
    }

    void settle(Run run, ClockReading now) {
        run.settledMillis = now.monotonicMillis();
        if (run.phase == Run.Phase.ORDERED) {
            run.phase = Run.Phase.RUNNING;
        }
        if (run.group.owner().begin()) {
            jobs.markChanged(run.task.job());
        }
    }

    void remove(Run run) {
        run.worker.minus(run);
        run.group.minus(run);
    }

    Optional<Run> find(Order order) {
        return find(order.worker()).flatMap(worker -> worker.run(order.task(), order.run()));
    }

    /** Takes a run that a worker lists; returns false if no job wants it. */
    private boolean see(WorkerState worker, WorkerLists.Running running, ClockReading now) {
        Optional<Run> known = worker.run(running.task(), running.run());
        Run run = known.or(() -> adopt(worker, running, now)).orElse(null);
        if (run == null) {
            return false;
        }
        if (run.phase == Run.Phase.ORDERED) {
            settle(run, now);
        }
        run.progress.put(running.percent(), now.monotonicMillis());
        run.group.save(running.task().index(), running.checkpoint());
        return true;
    }

    private Optional<Run> adopt(WorkerState worker, WorkerLists.Running running, ClockReading now) {
        TaskId task = running.task();
        return jobs.find(task.job())
                .filter(job -> !job.isEnded())
                .flatMap(job -> job.group(task, now.wallMillis()))
                .filter(group -> group.isAdoptable(task.index(), running.run()))
                .map(group -> new Run(task, running.run(), worker, group, now.monotonicMillis()))
                .map(WorkerTable::plus);
    }

    private static Run plus(Run run) {
        run.group.plus(run);
        run.worker.plus(run);
        return run;
    }

    private void end(WorkerState worker, WorkerLists.Ended ended, ClockReading now) {
        if (!worker.isNewEnd(ended.number())) {
            return;
        }
        worker.run(ended.task(), ended.run()).ifPresent(this::remove);
        jobs.find(ended.task().job())
                .flatMap(job -> job.group(ended.task(), now.wallMillis()))
                .ifPresent(group -> count(worker, group, ended, now));
        if (ended.end() == RunEnd.DONE) {
            worker.plusSuccess();
        } else if (ended.end() == RunEnd.FAILED) {
            worker.plusFailure(ended.task(), now.monotonicMillis());
        }
    }

    private void count(
            WorkerState worker, TaskGroup group, WorkerLists.Ended ended, ClockReading now) {
        if (ended.end() == RunEnd.FAILED) {
            group.avoid(worker.id(), now.monotonicMillis());
        }
        boolean saved = group.save(ended.task().index(), ended.checkpoint());
        boolean counted = group.plusEnd(ended.task(), ended.run(), ended.end());
        if ((saved || counted) && !group.owner().isEnded()) {
            group.owner().begin();
            jobs.markChanged(ended.task().job());
        }
    }

    private void dropAbsent(WorkerState worker, WorkerLists lists, long askedMillis) {
        Set<RunKey> listed = new HashSet<>();
        lists.running().forEach(row -> listed.add(new RunKey(row.task(), row.run())));
        for (Run run : worker.runs()) {
            boolean absent = !listed.contains(new RunKey(run.task, run.number));
            if (absent && run.isSettledBefore(askedMillis)) {
                remove(run);
            }
        }
    }

    private void reincarnate(WorkerState worker, long bornMillis) {
        if (bornMillis > worker.info().bornMillis()) {
            worker.runs().forEach(this::remove);
            worker.beginIncarnation(bornMillis);
        }
    }
}
