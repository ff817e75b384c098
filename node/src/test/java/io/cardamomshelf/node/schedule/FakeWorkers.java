package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.WorkerOrders;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Workers that hold runs and leases in memory, and may be cut off or lose answers. */
final class FakeWorkers implements WorkerOrders {

    private static final long DELAY_MILLIS = 5;
    private static final long POLL_MILLIS = 20;

    /** One worker. */
    static final class Fake {
        final Map<TaskId, Long> running = new HashMap<>();
        final List<WorkerLists.Ended> ended = new ArrayList<>();
        final Map<TaskId, Long> highest = new HashMap<>();
        long token;
        long leaseEndMillis;
        long ends;
        int holds;
    }

    private final VirtualTime time;
    private final Map<WorkerId, Fake> fakes = new HashMap<>();
    final Set<WorkerId> cut = new HashSet<>();
    final Set<WorkerId> losingAnswers = new HashSet<>();
    final Set<WorkerId> refusing = new HashSet<>();

    /** Another worker answers at their address. */
    final Set<WorkerId> replaced = new HashSet<>();

    final List<Order.Start> starts = new ArrayList<>();
    final List<String> overlaps = new ArrayList<>();

    FakeWorkers(VirtualTime time) {
        this.time = time;
    }

    Fake at(String name) {
        return fakes.computeIfAbsent(WorkerId.of(name), id -> new Fake());
    }

    void finish(String name, TaskId task, RunEnd how) {
        Fake fake = at(name);
        Long run = fake.running.remove(task);
        fake.ended.add(new WorkerLists.Ended(++fake.ends, task, run, how, ""));
    }

    boolean isRunning(TaskId task) {
        expire();
        return fakes.values().stream().anyMatch(fake -> fake.running.containsKey(task));
    }

    /** Ends a worker with all that it runs; another one answers at its address from now on. */
    void replace(WorkerId id) {
        fakes.remove(id);
        replaced.add(id);
    }

    WorkerId hostOf(TaskId task) {
        return fakes.entrySet().stream()
                .filter(entry -> entry.getValue().running.containsKey(task))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** What runs, by worker, as it is and not as the workers could tell. */
    Map<WorkerId, Set<TaskId>> running() {
        expire();
        Map<WorkerId, Set<TaskId>> running = new TreeMap<>();
        fakes.forEach((id, fake) -> running.put(id, Set.copyOf(fake.running.keySet())));
        return running;
    }

    @Override
    public Uni<Reply> start(
            Target target, Order.Start start, long leaseEnd, long token, long timeoutMillis) {
        starts.add(start);
        return call(
                target,
                timeoutMillis,
                new Reply(Answer.UNKNOWN, OptionalLong.empty(), "no answer"),
                fake -> start(target, fake, start, leaseEnd, token));
    }

    private Reply start(Target target, Fake fake, Order.Start start, long leaseEnd, long token) {
        if (token < fake.token) {
            return reply(Answer.FENCED);
        }
        if (replaced.contains(target.id())) {
            return reply(Answer.OTHER_INCARNATION);
        }
        if (refusing.contains(target.id())) {
            return reply(Answer.REFUSED);
        }
        fake.token = token;
        if (start.run() <= fake.highest.getOrDefault(start.task(), 0L)) {
            boolean there = Long.valueOf(start.run()).equals(fake.running.get(start.task()));
            return reply(there ? Answer.DONE : Answer.REFUSED);
        }
        if (isRunning(start.task())) {
            overlaps.add(start.task() + " at " + time.steadyMillis());
        }
        fake.leaseEndMillis = Math.max(fake.leaseEndMillis, leaseEnd);
        fake.highest.put(start.task(), start.run());
        fake.running.put(start.task(), start.run());
        return reply(Answer.DONE);
    }

    @Override
    public Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis) {
        return call(
                target,
                timeoutMillis,
                new Reply(Answer.UNKNOWN, OptionalLong.empty(), "no answer"),
                fake -> {
                    if (replaced.contains(target.id())) {
                        return reply(Answer.OTHER_INCARNATION);
                    }
                    if (token < fake.token) {
                        return reply(Answer.FENCED);
                    }
                    fake.token = token;
                    fake.highest.merge(stop.task(), stop.run(), Math::max);
                    if (fake.running.containsKey(stop.task())) {
                        finish(target.id().value(), stop.task(), RunEnd.STOPPED);
                    }
                    return reply(Answer.DONE);
                });
    }

    @Override
    public Uni<Holding> hold(
            Target target,
            OptionalLong leaseEnd,
            long lastSeen,
            long waitMillis,
            long token,
            long timeoutMillis) {
        at(target.id().value()).holds++;
        long untilMillis = time.steadyMillis() + waitMillis;
        return renew(target, leaseEnd, lastSeen, token, timeoutMillis)
                .chain(
                        answer ->
                                answer.answer() == Answer.DONE
                                        ? waited(target, answer, untilMillis)
                                        : Uni.createFrom().item(answer));
    }

    /** Answers at the next end, or when the wait is over. */
    private Uni<Holding> waited(Target target, Holding first, long untilMillis) {
        Fake fake = at(target.id().value());
        if (!fake.ended.isEmpty() || time.steadyMillis() >= untilMillis) {
            return Uni.createFrom()
                    .item(new Holding(Answer.DONE, clock(), lists(fake), true, first.detail()));
        }
        return Uni.createFrom()
                .<Void>emitter(emitter -> time.after(POLL_MILLIS, () -> emitter.complete(null)))
                .chain(() -> waited(target, first, untilMillis));
    }

    private Uni<Holding> renew(
            Target target, OptionalLong leaseEnd, long lastSeen, long token, long timeoutMillis) {
        return call(
                target,
                timeoutMillis,
                new Holding(Answer.UNKNOWN, OptionalLong.empty(), null, false, "no answer"),
                fake -> {
                    if (replaced.contains(target.id())) {
                        return new Holding(
                                Answer.OTHER_INCARNATION, clock(), null, false, "status 421");
                    }
                    if (token < fake.token) {
                        return new Holding(Answer.FENCED, clock(), null, false, "fenced");
                    }
                    fake.token = token;
                    fake.leaseEndMillis =
                            Math.max(fake.leaseEndMillis, leaseEnd.orElse(Long.MIN_VALUE));
                    fake.ended.removeIf(end -> end.number() <= lastSeen);
                    return new Holding(Answer.DONE, clock(), lists(fake), true, "");
                });
    }

    private static WorkerLists lists(Fake fake) {
        List<WorkerLists.Running> running = new ArrayList<>();
        fake.running.forEach((task, run) -> running.add(new WorkerLists.Running(task, run, "", 0)));
        return new WorkerLists(1, running, fake.ended);
    }

    private void expire() {
        for (Map.Entry<WorkerId, Fake> entry : fakes.entrySet()) {
            if (entry.getValue().leaseEndMillis < time.steadyMillis()) {
                List.copyOf(entry.getValue().running.keySet())
                        .forEach(task -> finish(entry.getKey().value(), task, RunEnd.LAPSED));
            }
        }
    }

    private <T> Uni<T> call(
            Target target, long timeoutMillis, T silence, Function<Fake, T> action) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.after(
                                        DELAY_MILLIS,
                                        () -> {
                                            expire();
                                            if (cut.contains(target.id())) {
                                                time.after(
                                                        timeoutMillis,
                                                        () -> emitter.complete(silence));
                                                return;
                                            }
                                            T answer = action.apply(at(target.id().value()));
                                            boolean lost = losingAnswers.contains(target.id());
                                            time.after(
                                                    lost ? timeoutMillis : DELAY_MILLIS,
                                                    () ->
                                                            emitter.complete(
                                                                    lost ? silence : answer));
                                        }));
    }

    private Reply reply(Answer answer) {
        return new Reply(answer, clock(), answer.name());
    }

    private OptionalLong clock() {
        return OptionalLong.of(time.steadyMillis());
    }
}
