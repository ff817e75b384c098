package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.port.WorkerOrders.Answer;
import java.util.OptionalLong;

/**
 * The scheduler's side of one worker: renews its lease while anything runs there, carries orders
 * out and tells the board what came of them.
 *
 * <p>At most one renewal is under way; it is answered at the next end, so that an idle worker costs
 * no calls and a busy one about one a second.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class WorkerLink {

    /** What the scheduler does with what a worker tells. */
    interface Host {

        /** Decides again, as something has changed. */
        void changed();

        /** Gives up, as the worker has seen a newer scheduler. */
        void fenced(WorkerInfo worker);

        /** Takes it that nothing of the worker's runs can be left. */
        void lost(WorkerId worker);

        /** Whether leases may be granted now. */
        boolean mayGrant();

        /** Whether every lease of an earlier scheduler has lapsed. */
        boolean isPredecessorOver();
    }

    /** How long a worker may wait for an end before it answers, in milliseconds. */
    private static final long WAIT_MILLIS = 1_000;

    /** How long an answer may take beyond that: several round trips between regions. */
    private static final long ANSWER_MILLIS = 900;

    /** How long a start may take before it is repeated; two fit into a gang's patience. */
    private static final long START_MILLIS = 700;

    /** The pause after a call without an answer, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** The pause while ends wait to be stored, in milliseconds. */
    private static final long UNSTORED_MILLIS = 300;

    /** The pause between calls that grant nothing, in milliseconds. */
    private static final long WITNESS_MILLIS = 500;

    private static final int SILENT_AFTER = 2;
    private static final int START_ATTEMPTS = 2;

    private final Timers timers;
    private final WorkerOrders orders;
    private final SchedulerState board;
    private final Clock clock;
    private final Host host;
    private final ServiceMetrics metrics;
    private final long token;
    private final long leaseMillis;
    private final LeaseClock lease;
    private final LeaderLease tenure;
    private WorkerInfo info;
    private long stored;
    private long acknowledged;
    private int failures;
    private boolean holding;
    private boolean pausing;
    private boolean closed;

    WorkerLink(
            SchedulerTermContext parts,
            SchedulerState board,
            Host host,
            WorkerInfo info,
            long inheritedMillis) {
        this.timers = parts.timers();
        this.orders = parts.orders();
        this.clock = parts.clock();
        this.metrics = parts.metrics();
        this.token = parts.epoch();
        this.leaseMillis = parts.settings().leaseMillis();
        this.board = board;
        this.host = host;
        this.info = info;
        this.lease = new LeaseClock(inheritedMillis);
        this.tenure = parts.tenure();
    }

    boolean isOlderThan(WorkerInfo next) {
        return next.bornMillis() > info.bornMillis();
    }

    void update(WorkerInfo next) {
        if (isOlderThan(next)) {
            beginIncarnation();
        }
        info = next;
    }

    void close() {
        closed = true;
    }

    /** Ends up to here are stored, so the worker may forget them. */
    void stored(long lastEnd) {
        stored = Math.max(stored, lastEnd);
        pausing = false;
        kick();
    }

    /** Makes sure that a renewal is under way if the worker has anything to tell. */
    void kick() {
        if (!holding && !pausing && !closed && isWatched()) {
            hold();
        }
    }

    void start(Order.Start start) {
        start(start, 1);
    }

    void stop(Order.Stop stop) {
        if (closed) {
            return;
        }
        orders.stop(target(), stop, token, START_MILLIS)
                .subscribe()
                .with(reply -> stopAnswered(stop, reply));
    }

    private boolean isWatched() {
        return board.isWatched(info.id())
                || stored < board.lastEnd(info.id())
                || acknowledged < stored
                || failures > 0
                || tenure.isInDoubt(clock.now());
    }

    private WorkerOrders.Target target() {
        return new WorkerOrders.Target(info.id(), info.endpoint());
    }

    /** A worker that didn't answer gets no new lease, so that what it has runs out in time. */
    private void hold() {
        holding = true;
        ClockReading now = clock.now();
        OptionalLong end =
                lease.isKnown() && failures == 0 && host.mayGrant()
                        ? OptionalLong.of(lease.leaseEnd(now.steadyMillis(), leaseMillis))
                        : OptionalLong.empty();
        boolean patient = end.isPresent() && isOccupied();
        long wait = patient ? WAIT_MILLIS : 0;
        long seen = stored;
        orders.hold(target(), end, seen, wait, token, wait + ANSWER_MILLIS)
                .subscribe()
                .with(answer -> held(answer, now, seen));
    }

    private void held(WorkerOrders.Holding answer, ClockReading asked, long seen) {
        holding = false;
        if (closed) {
            return;
        }
        answer.clockMillis().ifPresent(this::observe);
        switch (answer.answer()) {
            case DONE -> {
                acknowledged = Math.max(acknowledged, seen);
                tenure.answered(info.id(), asked);
                listed(answer, asked.steadyMillis());
            }
            case FENCED -> host.fenced(info);
            case OTHER_INCARNATION -> replaced();
            default -> unanswered(answer);
        }
    }

    /** Another worker has the address, so the life that was asked for, and its runs, are over. */
    private void replaced() {
        failures++;
        board.markSilent(info.id(), true);
        loseRuns("another incarnation answers");
        pause(RETRY_MILLIS);
    }

    private void listed(WorkerOrders.Holding answer, long askedMillis) {
        if (failures >= SILENT_AFTER) {
            EventLog.of(NodeEvent.WORKER_ANSWERS).with("worker", info.id()).write();
        }
        failures = 0;
        WorkerLists lists = answer.lists();
        if (lists.bornMillis() > info.bornMillis()) {
            beginIncarnation();
        }
        logEnds(lists);
        board.report(info.id(), lists, askedMillis, answer.isWhole(), clock.now());
        host.changed();
        if (stored < board.lastEnd(info.id())) {
            pause(UNSTORED_MILLIS);
        } else if (tenure.isInDoubt(clock.now()) && !(host.mayGrant() && isOccupied())) {
            pause(WITNESS_MILLIS);
        } else {
            kick();
        }
    }

    private void logEnds(WorkerLists lists) {
        for (WorkerLists.Ended ended : lists.ended()) {
            if (ended.number() > board.lastEnd(info.id())) {
                metrics.count(Name.RUN_ENDS, ended.end());
                EventLog.of(NodeEvent.RUN_ENDED)
                        .with("task", ended.task())
                        .with("run", ended.run())
                        .with("worker", info.id())
                        .with("end", ended.end())
                        .write();
            }
        }
    }

    private void unanswered(WorkerOrders.Holding answer) {
        failures++;
        if (failures == SILENT_AFTER) {
            board.markSilent(info.id(), true);
            EventLog.of(NodeEvent.WORKER_SILENT)
                    .with("worker", info.id())
                    .with("answer", answer.answer())
                    .with("detail", answer.detail())
                    .write();
        }
        if (failures >= SILENT_AFTER && isLapsed()) {
            loseRuns("its leases have lapsed");
        }
        pause(RETRY_MILLIS);
    }

    private void loseRuns(String cause) {
        if (isOccupied()) {
            EventLog.of(NodeEvent.WORKER_LOST)
                    .with("worker", info.id())
                    .with("cause", cause)
                    .write();
        }
        host.lost(info.id());
        if (!board.isKnown(info.id())) {
            forget();
        }
    }

    private boolean isLapsed() {
        return lease.isLapsed(clock.steadyMillis()) && host.isPredecessorOver();
    }

    private boolean isOccupied() {
        return board.isOccupied(info.id());
    }

    /** A worker with ends to tell answers at once, so calls are spaced until they are stored. */
    private void pause(long millis) {
        pausing = true;
        timers.after(
                millis,
                () -> {
                    pausing = false;
                    kick();
                });
    }

    /** Asks no more, as nothing is left of the worker; it is asked again once it registers. */
    private void forget() {
        failures = 0;
        stored = 0;
        acknowledged = 0;
    }

    private void beginIncarnation() {
        lease.reset();
        stored = 0;
        acknowledged = 0;
    }

    private void observe(long workerMillis) {
        lease.observe(workerMillis, clock.steadyMillis());
    }

    private void start(Order.Start start, int attempt) {
        if (closed) {
            return;
        }
        long end = lease.leaseEnd(clock.steadyMillis(), leaseMillis);
        orders.start(target(), start, end, token, START_MILLIS)
                .subscribe()
                .with(reply -> startAnswered(start, attempt, reply));
    }

    private void startAnswered(Order.Start start, int attempt, WorkerOrders.Reply reply) {
        if (closed) {
            return;
        }
        reply.clockMillis().ifPresent(this::observe);
        boolean again = reply.answer() == Answer.UNKNOWN || reply.answer() == Answer.TOO_LATE;
        if (reply.answer() == Answer.FENCED) {
            host.fenced(info);
            return;
        }
        if (reply.answer() != Answer.DONE) {
            logFailure(start, attempt, reply);
        }
        if (again && attempt < START_ATTEMPTS && host.mayGrant()) {
            start(start, attempt + 1);
            return;
        }
        board.started(start, outcome(attempt, reply.answer()), clock.now());
        if (reply.answer() == Answer.OTHER_INCARNATION) {
            // Nothing more is started there, and it is asked until it is gone or answers.
            failures++;
            board.markSilent(info.id(), true);
        }
        host.changed();
        kick();
    }

    /** A refusal settles a start only if no earlier attempt at it may still be carried out. */
    private static SchedulerState.StartOutcome outcome(int attempt, Answer answer) {
        if (answer == Answer.DONE) {
            return SchedulerState.StartOutcome.STARTED;
        }
        boolean settled = answer != Answer.UNKNOWN && attempt == 1;
        return settled ? SchedulerState.StartOutcome.REFUSED : SchedulerState.StartOutcome.UNKNOWN;
    }

    private void logFailure(Order.Start start, int attempt, WorkerOrders.Reply reply) {
        EventLog.of(NodeEvent.START_FAILED)
                .with("task", start.task())
                .with("run", start.run())
                .with("worker", info.id())
                .with("attempt", attempt)
                .with("answer", reply.answer())
                .with("detail", reply.detail())
                .write();
    }

    private void stopAnswered(Order.Stop stop, WorkerOrders.Reply reply) {
        if (closed) {
            return;
        }
        reply.clockMillis().ifPresent(this::observe);
        switch (reply.answer()) {
            case FENCED -> host.fenced(info);
            case UNKNOWN -> {
                if (isOccupied()) {
                    timers.after(RETRY_MILLIS, () -> stop(stop));
                }
            }
            default -> {
                board.stopped(stop, clock.now());
                kick();
            }
        }
    }
}
