package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.core.schedule.WorkerReports;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.port.WorkerOrders.Answer;
import io.cardamomshelf.node.schedule.IgnoredReports.Kind;
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

    /** How long a worker may wait for the end of a run before it answers, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 1_000;

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
    private final LinkOwner owner;
    private final long token;
    private final long leaseMillis;

    /** How long an incarnation may run under the lease of a call that was meant for another one. */
    private final long worstLeaseMillis;

    private final LeaseClock leaseClock;
    private final OrderSender orderSender;
    private final LeaderLease leaderLease;

    /**
     * Delays the next renewal. Without it, a worker whose calls fail or that answers without
     * waiting would be called again at once.
     */
    private final Pause pause;

    private WorkerInfo info;
    private final Incarnations incarnations;
    private final EndAcknowledgements acknowledgements;
    private final IgnoredReports ignoredReports;
    private final WorkerEvents events;
    private final AnswerTimeout answerTimeout = new AnswerTimeout();
    private int consecutiveFailures;
    private boolean answered;
    private OptionalLong fencedBornMillis = OptionalLong.empty();
    private boolean renewalInFlight;
    private boolean closed;

    WorkerLink(
            SchedulerTermContext context,
            SchedulerState state,
            LinkOwner owner,
            WorkerInfo info,
            LeaseClock leaseClock) {
        this.pause = new Pause(context.timers(), this::renewIfNeeded);
        this.orders = context.orders();
        this.clock = context.clock();
        this.token = context.epoch();
        this.leaseMillis = context.settings().leaseMillis();
        this.worstLeaseMillis = LeaseClock.worstCaseMillis(context.settings().maxLeaseMillis());
        this.state = state;
        this.owner = owner;
        this.info = info;
        this.incarnations = new Incarnations(info.bornMillis());
        this.acknowledgements = new EndAcknowledgements(info.bornMillis());
        this.events = new WorkerEvents(info.id(), context.metrics());
        this.ignoredReports = new IgnoredReports(info.id());
        this.leaseClock = leaseClock;
        this.orderSender = new OrderSender(context, state, leaseClock, this);
        this.leaderLease = context.leaderLease();
        if (info.clockMillis() > 0) {
            // The entry may be some seconds old. Leases that are computed from it end too early,
            // never too late, and runs with little of their lease left needn't wait for the lists.
            leaseClock.observe(info.clockMillis(), clock.monotonicMillis());
        }
    }

    /**
     * Uses a registry entry, if its incarnation is the current one. One that was born before the
     * current one may be an earlier or a later one; its entry is kept until lists show which.
     */
    void entryRead(WorkerInfo entry) {
        long bornMillis = entry.bornMillis();
        if (incarnations.hasEnded(bornMillis)) {
            ignoredReports.add(Kind.ENTRY, bornMillis, info.bornMillis());
            return;
        }
        if (incarnations.isCurrent(bornMillis)) {
            incarnations.takeAnnounced();
            useEntry(entry, false);
        } else if (bornMillis > info.bornMillis()
                || !state.workerReports().isWorkerKnown(info.id())) {
            incarnations.takeAnnounced();
            beginWithEntry(entry);
        } else if (incarnations.announce(entry)) {
            ignoredReports.add(Kind.ENTRY, bornMillis, info.bornMillis());
            acknowledgements.awaitLists();
            state.workerReports().require(info.id());
        }
    }

    /** Records that the registry has no entry of the worker any more. */
    void entryRemoved() {
        incarnations.takeAnnounced();
    }

    private void beginWithEntry(WorkerInfo entry) {
        beginIncarnation(entry.bornMillis(), "its entry");
        useEntry(entry, true);
    }

    private void useEntry(WorkerInfo entry, boolean isFirst) {
        info = entry;
        owner.entryConfirmed(entry, isFirst);
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
        if (renewalInFlight || pause.isActive() || closed || !needsRenewal()) {
            return;
        }
        if (isFenced()) {
            declareLostOnceLeasesLapsed();
            pause.begin(RETRY_PAUSE_MILLIS);
        } else {
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

    /**
     * Gives up the worker's current incarnation. It would refuse all further calls of this term, so
     * it isn't called again before it restarts, and its runs end with their leases.
     */
    @Override
    public void fenced() {
        consecutiveFailures++;
        fencedBornMillis = OptionalLong.of(info.bornMillis());
        state.setUnresponsive(info.id(), true);
        owner.fenced(info);
        renewIfNeeded();
    }

    @Override
    public boolean isFenced() {
        return fencedBornMillis.isPresent() && incarnations.isCurrent(fencedBornMillis.getAsLong());
    }

    @Override
    public boolean mayGrant() {
        return owner.mayGrant() && !incarnations.isUndecided();
    }

    @Override
    public void otherIncarnationAnsweredStart() {
        // Prevents further starts there, and keeps renewals going until it answers or is lost.
        consecutiveFailures++;
        state.setUnresponsive(info.id(), true);
    }

    @Override
    public void stateChanged() {
        owner.stateChanged();
    }

    private boolean needsRenewal() {
        return state.workerReports().needsPolling(info.id())
                || acknowledgements.hasUnstored(lastEndNumber())
                || acknowledgements.isDue()
                || consecutiveFailures > 0
                || incarnations.isUndecided()
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
                leaseClock.hasObservation() && consecutiveFailures == 0 && mayGrant()
                        ? OptionalLong.of(leaseClock.grantLease(now.monotonicMillis(), leaseMillis))
                        : OptionalLong.empty();
        boolean waitsForEnd = answered && leaseEndMillis.isPresent() && mayHaveRuns();
        long waitMillis = waitsForEnd ? MAX_WAIT_MILLIS : 0;
        SentRenewal renewal =
                new SentRenewal(
                        now,
                        leaseEndMillis.isPresent(),
                        waitMillis,
                        info.bornMillis(),
                        incarnations.version(),
                        acknowledgements.next());
        orders.renewLease(
                        target(),
                        leaseEndMillis,
                        renewal.acknowledgement(),
                        waitMillis,
                        token,
                        waitMillis + answerTimeout.millis())
                .subscribe()
                .with(reply -> renewalAnswered(reply, renewal));
    }

    private void renewalAnswered(WorkerOrders.RenewalReply reply, SentRenewal renewal) {
        renewalInFlight = false;
        if (closed) {
            return;
        }
        if (renewal.grantsLease() && reply.answer().isFromWorker()) {
            leaseClock.callAnswered(renewal.sentAt().monotonicMillis());
        }
        if (reply.answer() == Answer.DONE && !isCurrent(reply.lists().bornMillis(), renewal)) {
            ignoredReports.add(Kind.LISTS, reply.lists().bornMillis(), info.bornMillis());
            pause.begin(RETRY_PAUSE_MILLIS);
            return;
        }
        long answeredBornMillis =
                reply.answer() == Answer.DONE ? info.bornMillis() : renewal.bornMillis();
        long sentMillis = renewal.sentAt().monotonicMillis();
        observeClock(reply.clockMillis(), new SentCall(answeredBornMillis, sentMillis));
        switch (reply.answer()) {
            case DONE -> {
                answered = true;
                answerTimeout.adapt(clock.monotonicMillis() - sentMillis - renewal.waitMillis());
                long acknowledgedEnd = reply.receipt().acknowledgedEnd();
                acknowledgements.confirmAcknowledged(renewal.bornMillis(), acknowledgedEnd);
                acknowledgements.confirmListed(reply.receipt().connection());
                leaderLease.recordWorkerAnswer(info.id(), renewal.sentAt());
                boolean leftOut = renewal.acknowledgement().isPresent() && acknowledgedEnd == 0;
                listsReceived(reply, sentMillis, leftOut);
            }
            case FENCED -> fenced();
            case OTHER_INCARNATION -> otherIncarnationAnswered();
            default -> renewalFailed(reply);
        }
    }

    /**
     * Returns whether lists are of the current incarnation. Those that were asked for after all
     * else that is known decide which one that is.
     */
    private boolean isCurrent(long bornMillis, SentRenewal renewal) {
        if (renewal.version() == incarnations.version()) {
            if (!incarnations.isCurrent(bornMillis)) {
                beginIncarnation(bornMillis, "its lists");
            }
            incarnations.confirm(bornMillis).ifPresent(entry -> useEntry(entry, true));
        }
        return incarnations.isCurrent(bornMillis);
    }

    /** Another incarnation uses the address, so this one has ended, and its runs with it. */
    private void otherIncarnationAnswered() {
        consecutiveFailures++;
        state.setUnresponsive(info.id(), true);
        declareRunsLost("another incarnation answers at its address", Long.MAX_VALUE);
        useAnnouncedEntryIfIdle();
        pause.begin(RETRY_PAUSE_MILLIS);
    }

    private void listsReceived(
            WorkerOrders.RenewalReply reply, long sentMillis, boolean acknowledgementLeftOut) {
        if (consecutiveFailures >= UNRESPONSIVE_AFTER_FAILURES) {
            events.answers();
        }
        consecutiveFailures = 0;
        WorkerLists lists = reply.lists();
        events.runsEnded(lists, lastEndNumber());
        state.updateRuns(info.id(), lists, sentMillis, reply.isComplete(), clock.now());
        if (incarnations.isUndecided()) {
            state.workerReports().require(info.id());
        }
        owner.stateChanged();
        if (acknowledgementLeftOut || acknowledgements.hasUnstored(lastEndNumber())) {
            pause.begin(UNACKNOWLEDGED_ENDS_PAUSE_MILLIS);
        } else if (leaderLease.needsWorkerAnswers(clock.now())
                && !(owner.mayGrant() && mayHaveRuns())) {
            pause.begin(NO_GRANT_PAUSE_MILLIS);
        } else {
            renewIfNeeded();
        }
    }

    private void renewalFailed(WorkerOrders.RenewalReply reply) {
        acknowledgements.awaitLists();
        consecutiveFailures++;
        if (consecutiveFailures == UNRESPONSIVE_AFTER_FAILURES) {
            answerTimeout.extend();
            state.setUnresponsive(info.id(), true);
            events.silent(reply);
        }
        if (consecutiveFailures >= UNRESPONSIVE_AFTER_FAILURES) {
            declareLostOnceLeasesLapsed();
        }
        orderSender.stopStartsOfEndedRuns();
        pause.begin(RETRY_PAUSE_MILLIS);
    }

    private void declareLostOnceLeasesLapsed() {
        if (haveLeasesLapsed()) {
            declareRunsLost("its leases have lapsed", clock.monotonicMillis() - worstLeaseMillis);
        }
        useAnnouncedEntryIfIdle();
    }

    private void declareRunsLost(String cause, long unansweredBeforeMillis) {
        if (mayHaveRuns()) {
            events.lost(cause);
        }
        owner.workerLost(info.id(), unansweredBeforeMillis);
        if (!state.workerReports().isWorkerKnown(info.id())) {
            resetRenewalState();
        }
    }

    /** Takes the kept entry for the current one, if the worker doesn't answer and has no runs. */
    private void useAnnouncedEntryIfIdle() {
        if (!mayHaveRuns()) {
            incarnations.takeAnnounced().ifPresent(this::beginWithEntry);
        }
    }

    private long lastEndNumber() {
        return state.workerReports().lastEndNumber(info.id());
    }

    /** Returns whether the leases had lapsed before a successor could renew them. */
    private boolean haveLeasesLapsed() {
        return leaseClock.haveLeasesLapsed(leaderLease.provenMillis())
                && owner.havePredecessorLeasesLapsed();
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
        long nowMillis = clock.monotonicMillis();
        leaseClock.reset(nowMillis);
        events.restarted(bornMillis, shownBy, leaseClock.unknownMillis(nowMillis));
        incarnations.begin(bornMillis);
        state.workerReports().beginIncarnation(info.id(), bornMillis);
        info = info.withBornMillis(bornMillis);
        acknowledgements.beginIncarnation(bornMillis);
        orderSender.stopUnansweredStarts();
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
            events.clockShowsRestart();
            leaseClock.reset(clock.monotonicMillis());
            acknowledgements.awaitLists();
            state.workerReports().require(info.id());
        }
        leaseClock.observe(workerClockMillis.getAsLong(), clock.monotonicMillis());
    }
}
