package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.StartOutcome;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.port.WorkerOrders.Answer;
import java.util.OptionalLong;

/**
 * Sends starts and stops of runs to one worker, and reports the outcomes to the scheduler state.
 *
 * <p>A start that got no answer in time is repeated once. One whose connection was lost isn't: the
 * worker may have restarted, and the new incarnation would take a run that may have ended on the
 * earlier one. A stop is repeated until the worker has carried it out, also if it was refused, as
 * an unhealthy worker refuses calls without doing anything.
 *
 * <p>A start without an answer may be carried out seconds later, also by the worker's next
 * incarnation, which doesn't know that the run was stopped or has ended. For as long as it may
 * arrive, it is therefore stopped on each new incarnation, and, once its run is over, at short
 * intervals and after each call that failed.
 *
 * <p>Use: {@link WorkerLink} has one sender, and implements {@link Worker} for it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class OrderSender {

    /** The worker that the orders are for, and what its answers change. */
    interface Worker {

        /** Returns where to send orders. */
        WorkerOrders.Target target();

        /** Returns its current incarnation, in milliseconds since 1970. */
        long bornMillis();

        /** Returns whether the scheduler's term has ended, so that nothing may be sent. */
        boolean isClosed();

        /** Returns whether leases may be granted now. */
        boolean mayGrant();

        /** Returns whether the worker has runs, or may have some that aren't known. */
        boolean mayHaveRuns();

        /** Records the worker's clock, if the answer to a call has it. */
        void observeClock(OptionalLong workerClockMillis, SentCall call);

        /** Records that the worker has refused the scheduler's fencing token. */
        void fenced();

        /** Returns whether its current incarnation has refused the fencing token. */
        boolean isFenced();

        /** Handles the answer of another incarnation to a start. */
        void otherIncarnationAnsweredStart();

        /** Requests a scheduling round after a change of the scheduler state. */
        void stateChanged();

        /** Asks the worker for its lists, if they are needed. */
        void renewIfNeeded();
    }

    /**
     * The timeout of an order, in milliseconds. Two attempts at a start fit into the time that a
     * gang waits for its members.
     */
    private static final long TIMEOUT_MILLIS = 700;

    /** The pause before a stop is repeated, in milliseconds. */
    private static final long RETRY_PAUSE_MILLIS = 250;

    /**
     * How often a start whose run is over is stopped while it may arrive late, in milliseconds. A
     * restarted worker that calls reach can carry it out for no longer than this.
     */
    private static final long LATE_START_CHECK_MILLIS = 250;

    private static final int MAX_START_ATTEMPTS = 2;

    private final Timers timers;
    private final WorkerOrders orders;
    private final SchedulerState state;
    private final Clock clock;
    private final long token;
    private final long leaseMillis;
    private final LeaseClock leaseClock;
    private final Worker worker;

    private final UnansweredStarts unansweredStarts = new UnansweredStarts();
    private boolean checksLateStarts;

    OrderSender(
            SchedulerTermContext context,
            SchedulerState state,
            LeaseClock leaseClock,
            Worker worker) {
        this.timers = context.timers();
        this.orders = context.orders();
        this.clock = context.clock();
        this.token = context.epoch();
        this.leaseMillis = context.settings().leaseMillis();
        this.state = state;
        this.leaseClock = leaseClock;
        this.worker = worker;
    }

    void start(Order.Start start) {
        start(start, 1, worker.bornMillis());
    }

    void stop(Order.Stop stop) {
        stop(stop, 1);
    }

    /** Makes a new incarnation refuse the starts that may still arrive there. */
    void stopUnansweredStarts() {
        unansweredStarts.at(clock.monotonicMillis()).forEach(start -> stop(abort(start)));
    }

    /**
     * Makes an incarnation that may have begun unnoticed refuse the starts of tasks without a known
     * run there. The others are left out, as the stop might end the run on the current incarnation.
     */
    void stopStartsOfEndedRuns() {
        if (worker.isClosed() || worker.isFenced()) {
            return;
        }
        unansweredStarts.at(clock.monotonicMillis()).stream()
                .filter(start -> !state.workerReports().hasRunOf(start.worker(), start.task()))
                .forEach(this::stopOnce);
    }

    private void expectLate(Order.Start start, long sentMillis) {
        unansweredStarts.add(start, sentMillis);
        if (!checksLateStarts) {
            checksLateStarts = true;
            timers.after(LATE_START_CHECK_MILLIS, this::checkLateStarts);
        }
    }

    /** Stops late starts at intervals, as an idle worker gets no calls that show a restart. */
    private void checkLateStarts() {
        checksLateStarts =
                !worker.isClosed() && !unansweredStarts.at(clock.monotonicMillis()).isEmpty();
        if (checksLateStarts) {
            stopStartsOfEndedRuns();
            timers.after(LATE_START_CHECK_MILLIS, this::checkLateStarts);
        }
    }

    private static Order.Stop abort(Order.Start start) {
        return new Order.Stop(
                start.worker(), start.task(), start.run(), Order.StopReason.START_ABORTED);
    }

    /** Sends a stop that isn't repeated if it fails, as the next check sends it again. */
    private void stopOnce(Order.Start start) {
        SentCall call = new SentCall(worker.bornMillis(), clock.monotonicMillis());
        orders.stop(worker.target(), abort(start), token, TIMEOUT_MILLIS)
                .subscribe()
                .with(reply -> observeAnswer(call, reply));
    }

    private void observeAnswer(SentCall call, WorkerOrders.Reply reply) {
        if (worker.isClosed()) {
            return;
        }
        worker.observeClock(reply.clockMillis(), call);
        if (reply.answer() == Answer.FENCED) {
            worker.fenced();
        }
    }

    private void stop(Order.Stop stop, int attempt) {
        if (worker.isClosed() || worker.isFenced()) {
            return;
        }
        SentCall call = new SentCall(worker.bornMillis(), clock.monotonicMillis());
        orders.stop(worker.target(), stop, token, TIMEOUT_MILLIS)
                .subscribe()
                .with(reply -> stopAnswered(stop, attempt, call, reply));
    }

    private void start(Order.Start start, int attempt, long bornMillis) {
        if (worker.isClosed()) {
            return;
        }
        if (!leaseClock.hasObservation() || worker.isFenced()) {
            // It has restarted, and its new clock isn't known yet, or it would refuse the start.
            state.handleStartOutcome(start, outcome(attempt, Answer.REFUSED), clock.now());
            return;
        }
        SentCall call = new SentCall(bornMillis, clock.monotonicMillis());
        long leaseEndMillis = leaseClock.grantLease(call.sentMillis(), leaseMillis);
        orders.start(worker.target(), start, leaseEndMillis, token, TIMEOUT_MILLIS)
                .subscribe()
                .with(reply -> startAnswered(start, attempt, call, reply));
    }

    private void startAnswered(
            Order.Start start, int attempt, SentCall call, WorkerOrders.Reply reply) {
        if (worker.isClosed()) {
            return;
        }
        if (reply.answer().isFromWorker()) {
            leaseClock.callAnswered(call.sentMillis());
        } else {
            expectLate(start, call.sentMillis());
        }
        worker.observeClock(reply.clockMillis(), call);
        if (reply.answer() != Answer.DONE) {
            logStartFailure(start, attempt, reply);
        }
        if (mayRepeat(start, attempt, call.bornMillis(), reply.answer())) {
            start(start, attempt + 1, call.bornMillis());
            return;
        }
        state.handleStartOutcome(start, outcome(attempt, reply.answer()), clock.now());
        if (reply.answer() == Answer.OTHER_INCARNATION) {
            worker.otherIncarnationAnsweredStart();
        } else if (reply.answer() == Answer.FENCED) {
            worker.fenced();
        }
        worker.stateChanged();
        worker.renewIfNeeded();
    }

    /**
     * Returns whether to repeat a start. It isn't repeated to a new incarnation, which may be of
     * another kind, nor once its run was given up.
     */
    private boolean mayRepeat(Order.Start start, int attempt, long bornMillis, Answer answer) {
        boolean mayHaveBeenCarriedOut = !answer.isFromWorker();
        return (mayHaveBeenCarriedOut || answer == Answer.TOO_LATE)
                && state.handleFailedStart(start, mayHaveBeenCarriedOut, clock.now())
                && answer != Answer.CONNECTION_LOST
                && bornMillis == worker.bornMillis()
                && attempt < MAX_START_ATTEMPTS
                && worker.mayGrant();
    }

    /** A refusal is final only if no earlier attempt may still be carried out. */
    private static StartOutcome outcome(int attempt, Answer answer) {
        if (answer == Answer.DONE) {
            return StartOutcome.STARTED;
        }
        boolean certainlyNotStarted = answer.isFromWorker() && attempt == 1;
        return certainlyNotStarted ? StartOutcome.REFUSED : StartOutcome.UNKNOWN;
    }

    private void logStartFailure(Order.Start start, int attempt, WorkerOrders.Reply reply) {
        EventLog.of(NodeEvent.START_FAILED)
                .with("task", start.task())
                .with("run", start.run())
                .with("worker", start.worker())
                .with("attempt", attempt)
                .with("answer", reply.answer())
                .with("detail", reply.detail())
                .write();
    }

    private void stopAnswered(
            Order.Stop stop, int attempt, SentCall call, WorkerOrders.Reply reply) {
        if (worker.isClosed()) {
            return;
        }
        worker.observeClock(reply.clockMillis(), call);
        switch (reply.answer()) {
            case FENCED -> worker.fenced();
            case DONE, OTHER_INCARNATION -> {
                if (call.bornMillis() != worker.bornMillis()) {
                    // The earlier incarnation may have answered.
                    stop(stop, attempt + 1);
                    return;
                }
                state.confirmStopOrder(stop, clock.now());
                worker.renewIfNeeded();
            }
            case REFUSED, TOO_LATE, UNKNOWN, CONNECTION_LOST -> stopFailed(stop, attempt, reply);
            default -> throw new IllegalStateException("answer: " + reply.answer());
        }
    }

    /** Repeats a stop that wasn't carried out, for as long as the worker may have runs. */
    private void stopFailed(Order.Stop stop, int attempt, WorkerOrders.Reply reply) {
        if (attempt == 1) {
            EventLog.of(NodeEvent.STOP_FAILED)
                    .with("task", stop.task())
                    .with("run", stop.run())
                    .with("worker", stop.worker())
                    .with("answer", reply.answer())
                    .with("detail", reply.detail())
                    .write();
        }
        if (worker.mayHaveRuns()) {
            timers.after(RETRY_PAUSE_MILLIS, () -> stop(stop, attempt + 1));
        }
    }
}
