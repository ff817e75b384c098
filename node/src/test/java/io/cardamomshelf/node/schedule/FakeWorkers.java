package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.Endpoint;
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
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Workers with runs and leases in memory that may be disconnected, refuse calls, lose answers, or
 * restart under their identifiers.
 */
final class FakeWorkers implements WorkerOrders {

    private static final long ONE_WAY_DELAY_MILLIS = 5;
    private static final long WAIT_CHECK_INTERVAL_MILLIS = 20;

    /** The longest lease that a worker takes, in milliseconds. */
    private static final long MAX_LEASE_MILLIS = 10_000;

    private final VirtualTime time;
    private final Map<WorkerId, FakeWorker> workers = new HashMap<>();
    final Set<WorkerId> disconnected = new HashSet<>();
    final Set<WorkerId> losingAnswers = new HashSet<>();

    /** Workers that carry out orders, and lose the connection before the answer. */
    final Set<WorkerId> losingConnections = new HashSet<>();

    /** Workers that refuse all calls and do nothing. */
    final Set<WorkerId> refusing = new HashSet<>();

    /** How much later than others a worker answers renewals, in milliseconds. */
    final Map<WorkerId, Long> renewalDelayMillis = new HashMap<>();

    /** How much longer a worker's answers are in transit, in milliseconds. */
    final Map<WorkerId, Long> answerDelayMillis = new HashMap<>();

    /** How much later a worker carries out each call, in milliseconds; it answers none of these. */
    final Map<WorkerId, Long> lateMillis = new HashMap<>();

    /** Workers that close each connection after a call. */
    final Set<WorkerId> closingConnections = new HashSet<>();

    /** The addresses of workers that have moved; calls to their other addresses get no answer. */
    final Map<WorkerId, Endpoint> movedTo = new HashMap<>();

    /** Workers at whose address another incarnation answers. */
    final Set<WorkerId> replaced = new HashSet<>();

    final List<Order.Start> starts = new ArrayList<>();
    final List<Order.Stop> stops = new ArrayList<>();

    /** Each start of a task that was already running, with its time in milliseconds. */
    final List<String> overlaps = new ArrayList<>();

    /** The acknowledged numbers of ends in all renewals, in the order in which they were sent. */
    final List<Long> acknowledgedEnds = new ArrayList<>();

    /** The ends that were acknowledged before their worker had listed them. */
    final List<WorkerLists.Ended> unreadEnds = new ArrayList<>();

    /** Each start of a task after an end as done was acknowledged, with its time. */
    final List<String> repeats = new ArrayList<>();

    /** Called after each start that was carried out. */
    Runnable onStart = () -> {};

    private final Set<TaskId> acknowledgedDone = new HashSet<>();

    FakeWorkers(VirtualTime time) {
        this.time = time;
    }

    FakeWorker worker(String name) {
        return workers.computeIfAbsent(WorkerId.of(name), id -> new FakeWorker(1, 0));
    }

    /**
     * Restarts a worker under its identifier. Its runs, its ends and its fencing token are lost,
     * and its clock and its numbers of ends start again.
     */
    void restart(String name) {
        restart(name, worker(name).bornMillis + 1);
    }

    /** Restarts a worker on a machine whose time of day was set to before its last start. */
    void restartWithClockSetBack(String name) {
        restart(name, worker(name).bornMillis - 1);
    }

    void restart(String name, long bornMillis) {
        workers.put(WorkerId.of(name), new FakeWorker(bornMillis, time.monotonicMillis()));
    }

    /** Returns a worker's own clock, in milliseconds. */
    long clockMillis(WorkerId id) {
        return clockMillis(worker(id.value()));
    }

    private long clockMillis(FakeWorker worker) {
        return time.monotonicMillis() - worker.clockStartMillis;
    }

    private void extendLease(FakeWorker worker, long leaseEndMillis) {
        long limitMillis = clockMillis(worker) + MAX_LEASE_MILLIS;
        worker.leaseEndMillis =
                Math.max(worker.leaseEndMillis, Math.min(leaseEndMillis, limitMillis));
    }

    void finish(String name, TaskId task, RunEnd end) {
        FakeWorker worker = worker(name);
        Long run = worker.running.remove(task);
        worker.ended.add(new WorkerLists.Ended(++worker.lastEndNumber, task, run, end, ""));
    }

    boolean isRunning(TaskId task) {
        endRunsWithLapsedLease();
        return workers.values().stream().anyMatch(worker -> worker.running.containsKey(task));
    }

    /** Ends a worker and its runs. From now on another incarnation answers at its address. */
    void replace(WorkerId id) {
        workers.remove(id);
        replaced.add(id);
    }

    WorkerId hostOf(TaskId task) {
        return workers.entrySet().stream()
                .filter(entry -> entry.getValue().running.containsKey(task))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the tasks that run on each worker, including those that no scheduler knows of. */
    Map<WorkerId, Set<TaskId>> running() {
        endRunsWithLapsedLease();
        Map<WorkerId, Set<TaskId>> running = new TreeMap<>();
        workers.forEach((id, worker) -> running.put(id, Set.copyOf(worker.running.keySet())));
        return running;
    }

    @Override
    public Uni<Reply> start(
            Target target, Order.Start start, long leaseEndMillis, long token, long timeoutMillis) {
        starts.add(start);
        return call(
                target,
                timeoutMillis,
                noReply(target),
                worker -> start(target, worker, start, leaseEndMillis, token));
    }

    private Reply noReply(Target target) {
        Answer answer =
                losingConnections.contains(target.id()) ? Answer.CONNECTION_LOST : Answer.UNKNOWN;
        return new Reply(answer, OptionalLong.empty(), "no answer");
    }

    private Reply start(
            Target target, FakeWorker worker, Order.Start start, long leaseEndMillis, long token) {
        if (token < worker.highestToken) {
            return reply(worker, Answer.FENCED);
        }
        if (replaced.contains(target.id())) {
            return reply(worker, Answer.OTHER_INCARNATION);
        }
        if (refusing.contains(target.id())) {
            return reply(worker, Answer.REFUSED);
        }
        worker.highestToken = token;
        if (start.run() <= worker.highestRuns.getOrDefault(start.task(), 0L)) {
            boolean alreadyRunning =
                    Long.valueOf(start.run()).equals(worker.running.get(start.task()));
            return reply(worker, alreadyRunning ? Answer.DONE : Answer.REFUSED);
        }
        if (isRunning(start.task())) {
            overlaps.add(start.task() + " at " + time.monotonicMillis());
        }
        if (acknowledgedDone.contains(start.task())) {
            repeats.add(start.task() + " at " + time.monotonicMillis());
        }
        extendLease(worker, leaseEndMillis);
        worker.highestRuns.put(start.task(), start.run());
        worker.running.put(start.task(), start.run());
        onStart.run();
        return reply(worker, Answer.DONE);
    }

    @Override
    public Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis) {
        stops.add(stop);
        return call(
                target,
                timeoutMillis,
                noReply(target),
                worker -> {
                    if (refusing.contains(target.id())) {
                        return reply(worker, Answer.REFUSED);
                    }
                    if (replaced.contains(target.id())) {
                        return reply(worker, Answer.OTHER_INCARNATION);
                    }
                    if (token < worker.highestToken) {
                        return reply(worker, Answer.FENCED);
                    }
                    worker.highestToken = token;
                    worker.highestRuns.merge(stop.task(), stop.run(), Math::max);
                    if (worker.running.containsKey(stop.task())) {
                        finish(target.id().value(), stop.task(), RunEnd.STOPPED);
                    }
                    return reply(worker, Answer.DONE);
                });
    }

    @Override
    public Uni<RenewalReply> renewLease(
            Target target,
            OptionalLong leaseEndMillis,
            Optional<Acknowledgement> acknowledgement,
            long waitMillis,
            long token,
            long timeoutMillis) {
        FakeWorker connection = worker(target.id().value());
        long lastAcknowledgedEnd =
                acknowledgement
                        .filter(sent -> !closingConnections.contains(target.id()))
                        .filter(sent -> sent.connection().equals(connection))
                        .map(Acknowledgement::lastEnd)
                        .orElse(0L);
        acknowledgedEnds.add(lastAcknowledgedEnd);
        worker(target.id().value()).renewals++;
        worker(target.id().value()).renewedLeaseEnds.add(leaseEndMillis);
        long timeoutAtMillis = time.monotonicMillis() + timeoutMillis;
        long untilMillis = time.monotonicMillis() + waitMillis;
        Receipt receipt = new Receipt(connection, lastAcknowledgedEnd);
        return renew(target, leaseEndMillis, receipt, token, timeoutMillis)
                .chain(
                        answer ->
                                answer.answer() == Answer.DONE
                                        ? waitForEnd(target, answer, untilMillis)
                                        : Uni.createFrom().item(answer))
                .chain(answer -> delay(target, answer, timeoutAtMillis));
    }

    /** Delivers an answer late, or none if it would come after the timeout. */
    private Uni<RenewalReply> delay(Target target, RenewalReply answer, long timeoutAtMillis) {
        long delayMillis = renewalDelayMillis.getOrDefault(target.id(), 0L);
        long remainingMillis = timeoutAtMillis - time.monotonicMillis();
        boolean inTime = delayMillis <= remainingMillis;
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.after(
                                        Math.min(delayMillis, remainingMillis),
                                        () -> emitter.complete(inTime ? answer : noAnswer())));
    }

    private static RenewalReply noAnswer() {
        return RenewalReply.withoutLists(Answer.UNKNOWN, OptionalLong.empty(), "no answer");
    }

    /** Answers at the next end of a run, or after the wait; not at all if the worker restarts. */
    private Uni<RenewalReply> waitForEnd(Target target, RenewalReply first, long untilMillis) {
        FakeWorker worker = worker(target.id().value());
        if (worker.bornMillis != first.lists().bornMillis()) {
            return Uni.createFrom().item(noAnswer());
        }
        if (!worker.ended.isEmpty() || time.monotonicMillis() >= untilMillis) {
            return Uni.createFrom()
                    .item(
                            new RenewalReply(
                                    Answer.DONE,
                                    clock(worker),
                                    lists(worker),
                                    true,
                                    first.receipt(),
                                    first.detail()));
        }
        return Uni.createFrom()
                .<Void>emitter(
                        emitter ->
                                time.after(
                                        WAIT_CHECK_INTERVAL_MILLIS, () -> emitter.complete(null)))
                .chain(() -> waitForEnd(target, first, untilMillis));
    }

    private Uni<RenewalReply> renew(
            Target target,
            OptionalLong leaseEndMillis,
            Receipt sent,
            long token,
            long timeoutMillis) {
        return call(
                target,
                timeoutMillis,
                noAnswer(),
                worker -> {
                    if (refusing.contains(target.id())) {
                        return RenewalReply.withoutLists(
                                Answer.REFUSED, clock(worker), "status 503");
                    }
                    if (replaced.contains(target.id())) {
                        return RenewalReply.withoutLists(
                                Answer.OTHER_INCARNATION, clock(worker), "status 421");
                    }
                    if (token < worker.highestToken) {
                        return RenewalReply.withoutLists(Answer.FENCED, clock(worker), "fenced");
                    }
                    worker.highestToken = token;
                    leaseEndMillis.ifPresent(end -> extendLease(worker, end));
                    if (sent.connection().equals(worker)) {
                        acknowledgeEnds(worker, sent.acknowledgedEnd());
                    }
                    return new RenewalReply(
                            Answer.DONE,
                            clock(worker),
                            lists(worker),
                            true,
                            new Receipt(worker, sent.acknowledgedEnd()),
                            "");
                });
    }

    private void acknowledgeEnds(FakeWorker worker, long lastAcknowledgedEnd) {
        worker.ended.stream()
                .filter(end -> end.number() > worker.lastListedEnd)
                .filter(end -> end.number() <= lastAcknowledgedEnd)
                .forEach(unreadEnds::add);
        worker.ended.stream()
                .filter(end -> end.number() <= lastAcknowledgedEnd && end.end() == RunEnd.DONE)
                .forEach(end -> acknowledgedDone.add(end.task()));
        worker.ended.removeIf(end -> end.number() <= lastAcknowledgedEnd);
    }

    private static WorkerLists lists(FakeWorker worker) {
        List<WorkerLists.Running> running = new ArrayList<>();
        worker.running.forEach(
                (task, run) -> running.add(new WorkerLists.Running(task, run, "", 0)));
        worker.lastListedEnd = worker.lastEndNumber;
        return new WorkerLists(worker.bornMillis, running, worker.ended);
    }

    private void endRunsWithLapsedLease() {
        for (Map.Entry<WorkerId, FakeWorker> entry : workers.entrySet()) {
            if (entry.getValue().leaseEndMillis < clockMillis(entry.getValue())) {
                List.copyOf(entry.getValue().running.keySet())
                        .forEach(task -> finish(entry.getKey().value(), task, RunEnd.LAPSED));
            }
        }
    }

    private <T> Uni<T> call(
            Target target, long timeoutMillis, T noAnswer, Function<FakeWorker, T> action) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.after(
                                        ONE_WAY_DELAY_MILLIS,
                                        () -> {
                                            endRunsWithLapsedLease();
                                            if (disconnected.contains(target.id())
                                                    || hasMoved(target)) {
                                                time.after(
                                                        timeoutMillis,
                                                        () -> emitter.complete(noAnswer));
                                                return;
                                            }
                                            if (lateMillis.containsKey(target.id())) {
                                                time.after(
                                                        lateMillis.get(target.id()),
                                                        () -> carryOutLate(target, action));
                                                time.after(
                                                        timeoutMillis,
                                                        () -> emitter.complete(noAnswer));
                                                return;
                                            }
                                            T answer = action.apply(worker(target.id().value()));
                                            if (losingConnections.contains(target.id())) {
                                                time.after(
                                                        ONE_WAY_DELAY_MILLIS,
                                                        () -> emitter.complete(noAnswer));
                                                return;
                                            }
                                            long delayMillis =
                                                    ONE_WAY_DELAY_MILLIS
                                                            + answerDelayMillis.getOrDefault(
                                                                    target.id(), 0L);
                                            boolean answerLost =
                                                    losingAnswers.contains(target.id())
                                                            || delayMillis > timeoutMillis;
                                            time.after(
                                                    answerLost ? timeoutMillis : delayMillis,
                                                    () ->
                                                            emitter.complete(
                                                                    answerLost
                                                                            ? noAnswer
                                                                            : answer));
                                        }));
    }

    private boolean hasMoved(Target target) {
        return !movedTo.getOrDefault(target.id(), target.endpoint()).equals(target.endpoint());
    }

    private <T> void carryOutLate(Target target, Function<FakeWorker, T> action) {
        endRunsWithLapsedLease();
        action.apply(worker(target.id().value()));
    }

    private Reply reply(FakeWorker worker, Answer answer) {
        return new Reply(answer, clock(worker), answer.name());
    }

    private OptionalLong clock(FakeWorker worker) {
        return OptionalLong.of(clockMillis(worker));
    }
}
