package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.QueuePolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One round of decisions over the jobs that wait.
 *
 * <p>Load it answers: more work than room, of several priorities. Guaranteed work goes first, then
 * by priority, then by acceptance; what finds no room lets others pass, but the room that urgent
 * work is being given by stops is held for it.
 */
final class Round {

    private final Board board;
    private final Moment now;
    private final RoomBook room;
    private final Placer placer;
    private final List<Order> orders = new ArrayList<>();

    Round(Board board, Moment now) {
        this.board = board;
        this.now = now;
        this.room = new RoomBook(board.workers(), board.closed(), now.steadyMillis());
        this.placer = new Placer(room, now);
    }

    List<Order> decide(Collection<LiveJob> jobs) {
        Set<OrganisationId> guaranteed = guaranteed(jobs);
        List<TaskGroup> groups = new ArrayList<>();
        for (LiveJob job : jobs) {
            if (!job.isEnded() && !board.isUncertain(job)) {
                groups.addAll(job.ready(now.wallMillis()));
            }
        }
        groups.sort(order(guaranteed));
        groups.forEach(this::place);
        return orders;
    }

    private Comparator<TaskGroup> order(Set<OrganisationId> guaranteed) {
        return Comparator.<TaskGroup, Boolean>comparing(
                        group -> !(isUrgent(group) && guaranteed.contains(organisation(group))))
                .thenComparing(group -> policy(group).priority())
                .thenComparing(group -> group.owner().job().acceptedMillis())
                .thenComparing(group -> group.owner().job().id())
                .thenComparing(TaskGroup::occurrence)
                .thenComparing(TaskGroup::step);
    }

    /** The organisations whose urgent jobs all fit into their guarantees. */
    private Set<OrganisationId> guaranteed(Collection<LiveJob> jobs) {
        Map<OrganisationId, Integer> wanted = new HashMap<>();
        for (LiveJob job : jobs) {
            if (!job.isEnded() && board.policy(job).priority() == 0) {
                wanted.merge(job.job().organisation(), job.accelerators(), Integer::sum);
            }
        }
        wanted.entrySet().removeIf(entry -> entry.getValue() > board.guarantee(entry.getKey()));
        return wanted.keySet();
    }

    private void place(TaskGroup group) {
        List<Integer> waiting = group.waiting();
        if (waiting.isEmpty()) {
            return;
        }
        if (group.spec().gang()) {
            placeGang(group, waiting);
        } else {
            placeSingles(group, waiting);
        }
    }

    private void placeGang(TaskGroup group, List<Integer> waiting) {
        QueuePolicy policy = policy(group);
        Optional<List<WorkerState>> place =
                placer.gang(group, waiting.size(), policy.service(), policy.priority());
        if (place.isPresent()) {
            long run = board.nextRun();
            for (int i = 0; i < waiting.size(); i++) {
                start(group, waiting.get(i), place.get().get(i), run);
            }
        } else if (isUrgent(group)) {
            reclaim(group, waiting.size());
        }
    }

    private void placeSingles(TaskGroup group, List<Integer> waiting) {
        QueuePolicy policy = policy(group);
        int left = waiting.size();
        for (int index : waiting) {
            Optional<WorkerState> place = placer.single(group, policy.service(), policy.priority());
            if (place.isEmpty()) {
                break;
            }
            start(group, index, place.get(), board.nextRun());
            left--;
        }
        if (left > 0 && isUrgent(group)) {
            reclaim(group, left);
        }
    }

    private void reclaim(TaskGroup group, int count) {
        Preemption preemption =
                new Preemption(
                        room,
                        now,
                        policy(group).priority(),
                        run -> board.policy(run.group.owner()).priority());
        Optional<Preemption.Plan> plan = preemption.plan(group, count, policy(group).service());
        if (plan.isEmpty()) {
            return;
        }
        plan.get().hosts().forEach(host -> room.hold(host, group.spec().allocation()));
        for (Run victim : plan.get().victims()) {
            for (Run run : wholeGang(victim)) {
                board.stop(run, Order.StopReason.RECLAIMED, now).ifPresent(orders::add);
            }
        }
    }

    private static Collection<Run> wholeGang(Run run) {
        return run.group.spec().gang() ? run.group.runs() : List.of(run);
    }

    private void start(TaskGroup group, int index, WorkerState worker, long run) {
        orders.add(board.start(group, index, worker, run, now));
    }

    private boolean isUrgent(TaskGroup group) {
        return policy(group).priority() == 0;
    }

    private QueuePolicy policy(TaskGroup group) {
        return board.policy(group.owner());
    }

    private static OrganisationId organisation(TaskGroup group) {
        return group.owner().job().organisation();
    }
}
