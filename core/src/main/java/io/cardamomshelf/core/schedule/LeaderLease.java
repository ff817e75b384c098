package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a scheduler may still grant leases, although another one may have been elected
 * behind its back.
 *
 * <p>Use: {@code stored} for each append of its own that was stored, {@code answered} for each
 * worker that accepted its fencing token, {@code mayGrant} before each grant. The successor counts
 * nothing as lapsed before {@code isPredecessorOver}.
 *
 * <p>Why it holds: a successor is elected only after a silence in the store that is longer than a
 * proof lasts, less half a second. Without the store a scheduler needs fresh answers of most
 * workers, and its successor has to reach most of them too: one of them has refused the old token.
 *
 * <p>Limits: it can't tell a lost store from a lost path to it, so both are judged by the workers.
 * Not thread-safe: belongs to the instance's event loop.
 */
public final class LeaderLease {

    /** How long a stored append or a worker's answer counts, in milliseconds. */
    private static final long PROOF_MILLIS = 2_000;

    /** The age of the last stored append from which workers are asked too, in milliseconds. */
    private static final long DOUBT_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final Map<WorkerId, ClockReading> answers = new HashMap<>();
    private final boolean settled;
    private ClockReading recordStoredAppend;
    private long majorityMillis = NEVER;

    /**
     * Creates the tenure of a scheduler.
     *
     * @param elected when the append that elected it was sent, not null
     * @param settled whether no earlier scheduler grants leases any more, as the last one said so
     */
    public LeaderLease(ClockReading elected, boolean settled) {
        this.recordStoredAppend = elected;
        this.settled = settled;
    }

    /**
     * Notes that an append was stored.
     *
     * @param sent when it was sent, or earlier, not null
     */
    public void recordStoredAppend(ClockReading sent) {
        if (sent.monotonicMillis() > recordStoredAppend.monotonicMillis()) {
            recordStoredAppend = sent;
        }
    }

    /**
     * Notes that a worker has accepted a call.
     *
     * @param worker the worker, not null
     * @param sent when the call was sent, not null
     */
    public void recordWorkerAnswer(WorkerId worker, ClockReading sent) {
        answers.merge(worker, sent, (a, b) -> a.monotonicMillis() > b.monotonicMillis() ? a : b);
    }

    /**
     * Asks whether workers have to be asked, as the store doesn't prove the tenure much longer.
     *
     * @param now the time, not null
     * @return true if the last stored append is old
     */
    public boolean needsWorkerAnswers(ClockReading now) {
        return age(recordStoredAppend, now) >= DOUBT_MILLIS;
    }

    /**
     * Asks whether a lease may be granted now.
     *
     * @param now the time, not null
     * @param workers the workers that are registered, not null
     * @return true if no successor can count on the lease having lapsed before it has
     */
    public boolean mayGrant(ClockReading now, Collection<WorkerId> workers) {
        if (age(recordStoredAppend, now) < PROOF_MILLIS) {
            return true;
        }
        long fresh =
                workers.stream()
                        .map(answers::get)
                        .filter(sent -> sent != null && age(sent, now) < PROOF_MILLIS)
                        .count();
        return fresh * 2 > workers.size();
    }

    /**
     * Notes the time once most workers have accepted a call, which ends an earlier scheduler's
     * grants soon after.
     *
     * @param now the time, not null
     * @param workers the workers that are registered, not null
     */
    public void updateMajority(ClockReading now, Collection<WorkerId> workers) {
        if (majorityMillis == NEVER) {
            long told = workers.stream().filter(answers::containsKey).count();
            majorityMillis = told * 2 > workers.size() ? now.monotonicMillis() : NEVER;
        }
    }

    /**
     * Asks whether every lease that an earlier scheduler may have granted has lapsed.
     *
     * @param now the time, not null
     * @param leaseMillis the length of its leases, in milliseconds
     * @return true if its last grant is over even on a slow clock
     */
    public boolean havePredecessorLeasesLapsed(ClockReading now, long leaseMillis) {
        if (settled) {
            return true;
        }
        long longest = PROOF_MILLIS + LeaseClock.worstCaseMillis(leaseMillis);
        return majorityMillis != NEVER && now.monotonicMillis() - majorityMillis >= longest;
    }

    /** A machine's suspension stops the steady clock, a clock that is set moves the other one. */
    private static long age(ClockReading since, ClockReading now) {
        return Math.max(
                now.monotonicMillis() - since.monotonicMillis(),
                now.wallMillis() - since.wallMillis());
    }
}
