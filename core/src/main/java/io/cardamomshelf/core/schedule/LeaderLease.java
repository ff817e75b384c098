package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Decides whether a scheduler may still grant leases to workers, as another scheduler may have been
 * elected without its knowledge.
 *
 * <p>Use: {@code recordStoredAppend} for each of its own appends that was stored, {@code
 * recordWorkerAnswer} for each worker that accepted its fencing token, {@code mayGrant} before each
 * grant. A successor treats no lease as lapsed until {@code havePredecessorLeasesLapsed} returns
 * true.
 *
 * <p>Safety: a successor is elected only if no sign of the scheduler has appeared in the store for
 * an election timeout. That timeout may be shorter than the validity of a proof, but by half a
 * second at most. Without the store, a scheduler needs recent answers from a majority of the stored
 * workers. Its successor has to reach a majority too, so at least one worker is in both and refuses
 * the older token. A successor that doesn't reach a majority waits until the scheduler can't grant
 * leases without the store any more.
 *
 * <p>Limits: a lost store can't be distinguished from a lost path to it, so both are handled by
 * asking the workers. Not thread-safe: used only on the instance's event loop.
 */
public final class LeaderLease {

    /** How long a stored append or a worker's answer is valid as a proof, in milliseconds. */
    private static final long PROOF_VALID_MILLIS = 2_000;

    /** The age of the last stored append at which workers are asked too, in milliseconds. */
    private static final long ASK_WORKERS_AGE_MILLIS = 1_000;

    /**
     * How long a scheduler may grant leases without the store, in milliseconds: longer than most
     * outages. Runs lapse in longer ones; a successor that doesn't reach most workers waits for it.
     */
    private static final long MAX_WITHOUT_STORE_MILLIS = 30_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final Map<WorkerId, ClockReading> lastAnswers = new HashMap<>();
    private final boolean predecessorsEnded;
    private ClockReading lastAppend;

    /** When a worker last refused this scheduler's token; older proofs don't count. */
    private long doubtedMillis = NEVER;

    private long firstCheckMillis = NEVER;
    private long majorityAnsweredMillis = NEVER;

    /**
     * Creates the leader lease of a scheduler.
     *
     * @param elected when the append that elected it was sent, not null
     * @param predecessorsEnded whether no earlier scheduler grants leases any more, as the last
     *     one's record shows
     */
    public LeaderLease(ClockReading elected, boolean predecessorsEnded) {
        this.lastAppend = elected;
        this.predecessorsEnded = predecessorsEnded;
    }

    /**
     * Records that an append was stored.
     *
     * @param sent the time at which it was sent, or an earlier one, not null
     */
    public void recordStoredAppend(ClockReading sent) {
        if (sent.monotonicMillis() > lastAppend.monotonicMillis()) {
            lastAppend = sent;
        }
    }

    /**
     * Returns when the last stored append was sent, or an earlier time. No successor had been
     * elected by then, and none had granted a lease.
     *
     * @return the time on the monotonic clock, in milliseconds
     */
    public long provenMillis() {
        return lastAppend.monotonicMillis();
    }

    /**
     * Records that a worker has refused a call, as it has seen a higher fencing token. Another
     * scheduler may have been elected, so only proofs from later calls count.
     *
     * @param now the time, not null
     */
    public void recordRefusal(ClockReading now) {
        doubtedMillis = now.monotonicMillis();
    }

    /**
     * Returns whether an append was stored that was sent after the last refusal, so that no
     * successor had been elected by then.
     *
     * @return true also if there was no refusal
     */
    public boolean isProvenSinceRefusal() {
        return lastAppend.monotonicMillis() > doubtedMillis;
    }

    /**
     * Records that a worker has accepted a call.
     *
     * @param worker the worker, not null
     * @param sent when the call was sent, not null
     */
    public void recordWorkerAnswer(WorkerId worker, ClockReading sent) {
        lastAnswers.merge(
                worker, sent, (a, b) -> a.monotonicMillis() > b.monotonicMillis() ? a : b);
    }

    /**
     * Returns whether workers have to be asked, as the proof by the store will soon be invalid.
     *
     * @param now the time, not null
     * @return true if the last stored append is old
     */
    public boolean needsWorkerAnswers(ClockReading now) {
        return now.maxMillisSince(lastAppend) >= ASK_WORKERS_AGE_MILLIS || !isProvenSinceRefusal();
    }

    /**
     * Returns whether a lease may be granted now.
     *
     * @param now the time, not null
     * @param voters supplies the stored workers, and is called only if the store's proof is no
     *     longer valid, not null
     * @return true if no successor can treat the lease as lapsed before it has lapsed
     */
    public boolean mayGrant(ClockReading now, Supplier<Voters> voters) {
        long proofAgeMillis = now.maxMillisSince(lastAppend);
        if (proofAgeMillis < PROOF_VALID_MILLIS && isProvenSinceRefusal()) {
            return true;
        }
        return proofAgeMillis < MAX_WITHOUT_STORE_MILLIS
                && voters.get().hasMajority(worker -> hasAnsweredLately(worker, now));
    }

    private boolean hasAnsweredLately(WorkerId worker, ClockReading now) {
        ClockReading sent = lastAnswers.get(worker);
        return sent != null
                && sent.monotonicMillis() > doubtedMillis
                && now.maxMillisSince(sent) < PROOF_VALID_MILLIS;
    }

    /**
     * Records the time once a majority of the workers has accepted a call; an earlier scheduler
     * can't grant leases after that for longer than a proof is valid.
     *
     * @param now the time, not null
     * @param voters the workers that the earlier scheduler has stored, not null
     */
    public void updateMajority(ClockReading now, Voters voters) {
        if (firstCheckMillis == NEVER) {
            firstCheckMillis = now.monotonicMillis();
        }
        boolean answered = voters.maxCount() == 0 || voters.hasMajority(lastAnswers::containsKey);
        if (majorityAnsweredMillis == NEVER && answered) {
            majorityAnsweredMillis = now.monotonicMillis();
        }
    }

    /**
     * Returns when an earlier scheduler sends its last call at the latest, as seen at the beginning
     * of this one's term. Until its proof by the store is invalid it may not know of the election.
     *
     * @param beginMillis the beginning of the term on the monotonic clock, in milliseconds
     * @return the time on the monotonic clock, in milliseconds
     */
    public long lastPredecessorCallMillis(long beginMillis) {
        return predecessorsEnded ? beginMillis : beginMillis + PROOF_VALID_MILLIS;
    }

    /**
     * Returns whether every lease that an earlier scheduler may have granted has lapsed.
     *
     * @param now the time, not null
     * @param leaseMillis the length of its leases, in milliseconds
     * @return true if its last grant has lapsed even on a slow clock
     */
    public boolean havePredecessorLeasesLapsed(ClockReading now, long leaseMillis) {
        if (predecessorsEnded) {
            return true;
        }
        long lastGrantMillis = lastPredecessorGrantMillis();
        return lastGrantMillis != NEVER
                && now.monotonicMillis() - lastGrantMillis
                        >= LeaseClock.worstCaseMillis(leaseMillis);
    }

    /** Returns until when an earlier scheduler may grant leases, on the monotonic clock. */
    private long lastPredecessorGrantMillis() {
        if (majorityAnsweredMillis != NEVER) {
            return Math.min(
                    majorityAnsweredMillis + PROOF_VALID_MILLIS,
                    firstCheckMillis + MAX_WITHOUT_STORE_MILLIS);
        }
        return firstCheckMillis == NEVER ? NEVER : firstCheckMillis + MAX_WITHOUT_STORE_MILLIS;
    }
}
