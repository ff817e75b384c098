package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.core.schedule.WorkerReports;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.port.WorkerOrders.Acknowledgement;
import io.cardamomshelf.node.port.WorkerOrders.Answer;
import io.cardamomshelf.node.schedule.IgnoredReports.Kind;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The scheduler's calls to one worker: renews the lease of its runs, sends orders by an {@link
 * OrderSender}, and reports the answers to the scheduler state.
 *
 * <p>At most one renewal is in flight. The worker answers it at the next end of a run or after a
 * second, so a busy worker is called about once a second. An idle worker is not called.
 *
 * <p>Use: {@link SchedulerTerm} has one link for each worker. A link must not renew a lease after a
 * failed call, so that the worker's leases lapse in time.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class WorkerLink implements OrderSender.Worker {

    /** What a link needs from the scheduler term that owns it. */
    interface Callbacks {

        /** Requests a scheduling round after a change of the scheduler state. */
        void stateChanged();

        /** Ends the term, as the worker has refused its fencing token. */
        void fenced(WorkerInfo worker);

        /**
         * Removes the worker's runs from the state, as none of them can still be running, but for
         * those whose start got no answer at the given time or later, on the monotonic clock.
         */
        void workerLost(WorkerId worker, long unansweredBeforeMillis);

        /** Returns whether leases may be granted now. */
        boolean mayGrant();

        /** Returns whether no earlier scheduler's grants can still be in force. */
        boolean havePredecessorLeasesLapsed();
    }

    /** How long a worker may wait for the end of a run before it answers, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    /**
     * The time allowed for an answer beyond the requested wait, in milliseconds: several round
     * trips between regions.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    /**
     * The time allowed for an answer of a worker that was silent or slow, in milliseconds. A lease
     * is long enough for two calls of this duration, so that a worker that answers late keeps its
     * runs.
     */
    private static final long SLOW_ANSWER_TIMEOUT_MILLIS = 2_000;

    /** The pause before a failed call is repeated, in milliseconds. */
    private static final long RETRY_PAUSE_MILLIS = 250;

    /**
     * The pause before a renewal while ends of runs can't be acknowledged, in milliseconds. Until
     * they are, a worker answers at once.
     */
    private static final long UNACKNOWLEDGED_ENDS_PAUSE_MILLIS = 300;

    /** The pause between calls that grant no lease but renew the leader lease, in milliseconds. */
    private static final long NO_GRANT_PAUSE_MILLIS = 500;

    private static final int UNRESPONSIVE_AFTER_FAILURES = 2;

    private final WorkerOrders orders;
    private final SchedulerState state;
    private final Clock clock;
    private final Callbacks callbacks;
    private final ServiceMetrics metrics;
    private final long token;
    private final long leaseMillis;
    private final long maxLeaseMillis;
    private final LeaseClock leaseClock;
    private final OrderSender orderSender;
    private final LeaderLease leaderLease;

    /**
     * Delays the next renewal. Without it, a worker whose calls fail or that answers without
     * waiting would be called again at once.
     */
    private final Pause pause;

    private WorkerInfo info;
    private final EndAcknowledgements acknowledgements;
    private final IgnoredReports ignoredReports;
    private long answerTimeoutMillis = ANSWER_TIMEOUT_MILLIS;
    private int consecutiveFailures;
    private boolean answered;
    private boolean renewalInFlight;
    private boolean closed;

    WorkerLink(
            SchedulerTermContext context,
            SchedulerState state,
            Callbacks callbacks,
            WorkerInfo info,
            long inheritedUntilMillis) {
        this.pause = new Pause(context.timers(), this::renewIfNeeded);
        this.orders = context.orders();
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.token = context.epoch();
        this.leaseMillis = context.settings().leaseMillis();
        this.maxLeaseMillis = context.settings().maxLeaseMillis();
        this.state = state;
        this.callbacks = callbacks;
        this.info = info;
        this.acknowledgements = new EndAcknowledgements(info.bornMillis());
        this.ignoredReports = new IgnoredReports(info.id());
        this.leaseClock = new LeaseClock(inheritedUntilMillis);
        this.orderSender = new OrderSender(context, state, leaseClock, this);
        this.leaderLease = context.leaderLease();
        if (info.clockMillis() > 0) {
            // The entry may be some seconds old. Leases that are computed from it end too early,
            // never too late, and runs with little of their lease left needn't wait for the lists.
            leaseClock.observe(info.clockMillis(), clock.monotonicMillis());
        }
    }

    boolean isOlderThan(WorkerInfo other) {
        return other.bornMillis() > info.bornMillis();
    }

    /** Uses a registry entry, unless it is of an earlier incarnation. */
    void updateInfo(WorkerInfo newInfo) {
        if (isOlderThan(newInfo)) {
            beginIncarnation(newInfo.bornMillis(), "its entry");
        }
        if (newInfo.bornMillis() == info.bornMillis()) {
            info = newInfo;
        } else {
            ignoredReports.add(Kind.ENTRY, newInfo.bornMillis(), info.bornMillis());
        }
    }

    void close() {
        closed = true;
    }

    /** Acknowledges the received ends with the next renewal, as they are stored now. */
    void confirmEndsStored(WorkerReports.ReceivedEnds ends) {
        acknowledgements.confirmStored(ends.bornMillis(), ends.lastNumber());
        pause.end();
        renewIfNeeded();
    }

    /** Sends a renewal if one is needed and none is in flight. */
    @Override
    public void renewIfNeeded() {
        if (!renewalInFlight && !pause.isActive() && !closed && needsRenewal()) {
            renew();
        }
    }

    void start(Order.Start start) {
        orderSender.start(start);
    }

    void stop(Order.Stop stop) {
        orderSender.stop(stop);
    }

    @Override
    public long bornMillis() {
        return info.bornMillis();
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void fenced() {
        callbacks.fenced(info);
    }

    @Override
    public boolean mayGrant() {
        return callbacks.mayGrant();
    }

    @Override
    public void otherIncarnationAnsweredStart() {
        // Prevents further starts there, and keeps renewals going until it answers or is lost.
        consecutiveFailures++;
        state.setUnresponsive(info.id(), true);
    }

    @Override
    public void stateChanged() {
        callbacks.stateChanged();
    }

    private boolean needsRenewal() {
        return state.needsPolling(info.id())
                || acknowledgements.hasUnstored(lastEndNumber())
                || acknowledgements.isDue()
                || consecutiveFailures > 0
                || leaderLease.needsWorkerAnswers(clock.now());
    }

    @Override
    public WorkerOrders.Target target() {
        return new WorkerOrders.Target(info.id(), info.endpoint());
    }

    /**
     * Sends a renewal. It grants no new lease if the last call failed, so that the worker's leases
     * lapse in time.
     */
    private void renew() {
        renewalInFlight = true;
        ClockReading now = clock.now();
        OptionalLong leaseEndMillis =
                leaseClock.hasObservation() && consecutiveFailures == 0 && callbacks.mayGrant()
                        ? OptionalLong.of(leaseClock.grantLease(now.monotonicMillis(), leaseMillis))
                        : OptionalLong.empty();
        boolean waitsForEnd = answered && leaseEndMillis.isPresent() && mayHaveRuns();
        long waitMillis = waitsForEnd ? MAX_WAIT_MILLIS : 0;
        long bornMillis = info.bornMillis();
        Optional<Acknowledgement> acknowledgement = acknowledgements.next();
        orders.renewLease(
                        target(),
                        leaseEndMillis,
                        acknowledgement,
                        waitMillis,
                        token,
                        waitMillis + answerTimeoutMillis)
                .subscribe()
                .with(
                        reply ->
                                renewalAnswered(
                                        reply, now, waitMillis, bornMillis, acknowledgement));
    }

    private void renewalAnswered(
            WorkerOrders.RenewalReply reply,
            ClockReading sentAt,
            long waitMillis,
            long bornMillis,
            Optional<Acknowledgement> acknowledgement) {
        renewalInFlight = false;
        if (closed) {
            return;
        }
        if (reply.answer() == Answer.DONE) {
            if (reply.lists().bornMillis() < info.bornMillis()) {
                ignoredReports.add(Kind.LISTS, reply.lists().bornMillis(), info.bornMillis());
                pause.begin(RETRY_PAUSE_MILLIS);
                return;
            }
            if (reply.lists().bornMillis() > info.bornMillis()) {
                beginIncarnation(reply.lists().bornMillis(), "its lists");
            }
        }
        long answeredBornMillis =
                reply.answer() == Answer.DONE ? reply.lists().bornMillis() : bornMillis;
        observeClock(
                reply.clockMillis(), new SentCall(answeredBornMillis, sentAt.monotonicMillis()));
        switch (reply.answer()) {
            case DONE -> {
                answered = true;
                adaptAnswerTimeout(sentAt.monotonicMillis() + waitMillis);
                acknowledgements.confirmAcknowledged(bornMillis, reply.receipt().acknowledgedEnd());
                acknowledgements.confirmListed(reply.receipt().connection());
                leaderLease.recordWorkerAnswer(info.id(), sentAt);
                boolean leftOut =
                        acknowledgement.isPresent() && reply.receipt().acknowledgedEnd() == 0;
                listsReceived(reply, sentAt.monotonicMillis(), leftOut);
            }
            case FENCED -> callbacks.fenced(info);
            case OTHER_INCARNATION -> otherIncarnationAnswered();
            default -> renewalFailed(reply);
        }
    }

    /** Allows twice the delay of the last answer, counted from when it was due at the latest. */
    private void adaptAnswerTimeout(long dueMillis) {
        long delayMillis = Math.max(0, clock.monotonicMillis() - dueMillis);
        answerTimeoutMillis =
                Math.max(
                        ANSWER_TIMEOUT_MILLIS,
                        Math.min(2 * delayMillis, SLOW_ANSWER_TIMEOUT_MILLIS));
    }

    /** Another incarnation uses the address, so this one has ended, and its runs with it. */
    private void otherIncarnationAnswered() {
        consecutiveFailures++;
        state.setUnresponsive(info.id(), true);
        declareRunsLost("another incarnation answers at its address", Long.MAX_VALUE);
        pause.begin(RETRY_PAUSE_MILLIS);
    }

    private void listsReceived(
            WorkerOrders.RenewalReply reply, long sentMillis, boolean acknowledgementLeftOut) {
        if (consecutiveFailures >= UNRESPONSIVE_AFTER_FAILURES) {
            EventLog.of(NodeEvent.WORKER_ANSWERS).with("worker", info.id()).write();
        }
        consecutiveFailures = 0;
        WorkerLists lists = reply.lists();
        logEnds(lists);
        state.updateRuns(info.id(), lists, sentMillis, reply.isComplete(), clock.now());
        callbacks.stateChanged();
        if (acknowledgementLeftOut || acknowledgements.hasUnstored(lastEndNumber())) {
            pause.begin(UNACKNOWLEDGED_ENDS_PAUSE_MILLIS);
        } else if (leaderLease.needsWorkerAnswers(clock.now())
                && !(callbacks.mayGrant() && mayHaveRuns())) {
            pause.begin(NO_GRANT_PAUSE_MILLIS);
        } else {
            renewIfNeeded();
        }
    }

    private void logEnds(WorkerLists lists) {
        for (WorkerLists.Ended ended : lists.ended()) {
            if (ended.number() > lastEndNumber()) {
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

    private void renewalFailed(WorkerOrders.RenewalReply reply) {
        acknowledgements.awaitLists();
        consecutiveFailures++;
        if (consecutiveFailures == UNRESPONSIVE_AFTER_FAILURES) {
            answerTimeoutMillis = SLOW_ANSWER_TIMEOUT_MILLIS;
            state.setUnresponsive(info.id(), true);
            EventLog.of(NodeEvent.WORKER_SILENT)
                    .with("worker", info.id())
                    .with("answer", reply.answer())
                    .with("detail", reply.detail())
                    .write();
        }
        if (consecutiveFailures >= UNRESPONSIVE_AFTER_FAILURES && haveLeasesLapsed()) {
            declareRunsLost("its leases have lapsed", clock.monotonicMillis() - worstLeaseMillis());
        }
        pause.begin(RETRY_PAUSE_MILLIS);
    }

    private void declareRunsLost(String cause, long unansweredBeforeMillis) {
        if (mayHaveRuns()) {
            EventLog.of(NodeEvent.WORKER_LOST)
                    .with("worker", info.id())
                    .with("cause", cause)
                    .write();
        }
        callbacks.workerLost(info.id(), unansweredBeforeMillis);
        if (!state.isWorkerKnown(info.id())) {
            resetRenewalState();
        }
    }

    private long lastEndNumber() {
        return state.workerReports().lastEndNumber(info.id());
    }

    private boolean haveLeasesLapsed() {
        return leaseClock.haveLeasesLapsed(clock.monotonicMillis())
                && callbacks.havePredecessorLeasesLapsed();
    }

    @Override
    public boolean mayHaveRuns() {
        return state.mayHaveRuns(info.id());
    }

    /** Makes renewals of a removed worker unnecessary. They resume once it registers again. */
    private void resetRenewalState() {
        consecutiveFailures = 0;
        acknowledgements.beginIncarnation(info.bornMillis());
    }

    /** A new incarnation has its own clock, has no leases, and numbers its ends of runs afresh. */
    private void beginIncarnation(long bornMillis, String shownBy) {
        EventLog.of(NodeEvent.WORKER_RESTARTED)
                .with("worker", info.id())
                .with("bornMillis", bornMillis)
                .with("shownBy", shownBy)
                .write();
        info = info.withBornMillis(bornMillis);
        resetLeaseClock();
        acknowledgements.beginIncarnation(bornMillis);
    }

    private void resetLeaseClock() {
        leaseClock.reset(clock.monotonicMillis() + worstLeaseMillis());
    }

    /** How long an incarnation may run under the lease of a call that was meant for another one. */
    private long worstLeaseMillis() {
        return LeaseClock.worstCaseMillis(maxLeaseMillis);
    }

    /**
     * Records the clock in an answer. If it shows a restart, the worker is asked for its lists. An
     * answer to a call from before a known restart may have the clock of either incarnation.
     */
    @Override
    public void observeClock(OptionalLong workerClockMillis, SentCall call) {
        if (workerClockMillis.isEmpty() || call.bornMillis() != info.bornMillis()) {
            return;
        }
        if (leaseClock.showsRestart(workerClockMillis.getAsLong(), call.sentMillis())) {
            EventLog.of(NodeEvent.WORKER_RESTARTED)
                    .with("worker", info.id())
                    .with("shownBy", "its clock")
                    .write();
            resetLeaseClock();
            acknowledgements.awaitLists();
            state.workerReports().require(info.id());
        }
        leaseClock.observe(workerClockMillis.getAsLong(), clock.monotonicMillis());
    }
}
