package io.cardamomshelf.standin;

import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The leases of a stand-in worker, judged by the worker's own clock.
 *
 * <p>Use: each command answers empty if granted, else the reason for the refusal. A token below the
 * lease's is refused; a higher one takes the lease over.
 *
 * <p>Not thread-safe: the worker guards it.
 */
final class LeaseTable {

    private static final long ENDED_KEPT_MILLIS = 60_000;
    private static final int FULL_SPEED = 100;

    private static final class Held {
        private final JobId job;
        private final long mask;
        private final GangNote note;
        private long token;
        private LeaseState state = LeaseState.HELD;
        private long expiresAt;
        private long endsAt;
        private long startedAt;
        private long throttledFrom;
        private long throttledUntil;
        private int percent = FULL_SPEED;
        private double lostMillis;
        private long checkpointedMillis;
        private long resumedMillis;

        Held(WorkerCommand.Hold hold, long nowMillis) {
            job = hold.job();
            mask = hold.mask();
            note = hold.note();
            token = hold.token();
            expiresAt = nowMillis + hold.ttlMillis();
            resumedMillis = hold.resume().isEmpty() ? 0 : Long.parseLong(hold.resume());
        }

        /** Returns the run time that throttling has cost up to a time. */
        double lostMillis(long nowMillis) {
            long until = Math.min(nowMillis, throttledUntil);
            long throttled = Math.max(0, until - throttledFrom);
            return lostMillis + throttled * (FULL_SPEED - percent) / (double) FULL_SPEED;
        }

        void throttle(int share, long nowMillis, long ttlMillis) {
            lostMillis = lostMillis(nowMillis);
            percent = share;
            throttledFrom = nowMillis;
            throttledUntil = nowMillis + ttlMillis;
        }

        boolean isOver(long nowMillis) {
            return endsAt + lostMillis(nowMillis) <= nowMillis;
        }

        /** Returns how long the task has run in all, earlier runs included. */
        long ranMillis(long nowMillis) {
            return resumedMillis + nowMillis - startedAt - (long) lostMillis(nowMillis);
        }
    }

    private final int accelerators;
    private final Map<JobId, Held> leases = new LinkedHashMap<>();
    private final Map<JobId, Long> highestTokens = new LinkedHashMap<>();
    private final List<JobId> started = new ArrayList<>();
    private boolean failing;
    private long discardedMillis;
    private long version = 1;

    LeaseTable(int accelerators) {
        this.accelerators = accelerators;
    }

    void failing(boolean fails) {
        failing = fails;
    }

    long version() {
        return version;
    }

    /** Returns every start there ever was, in order. */
    List<JobId> started() {
        return List.copyOf(started);
    }

    /** Returns the run time since their last checkpoint of all tasks that were stopped. */
    long discardedMillis() {
        return discardedMillis;
    }

    Optional<String> hold(WorkerCommand.Hold hold, long nowMillis) {
        advance(nowMillis);
        if (hold.token() < highestTokens.getOrDefault(hold.job(), 0L)) {
            return Optional.of("token " + hold.token() + " is old");
        }
        Held own = leases.get(hold.job());
        if (own != null) {
            return Optional.of("job " + hold.job() + " has a lease here");
        }
        if (hold.mask() == 0 || accelerators < Long.SIZE && hold.mask() >>> accelerators != 0) {
            return Optional.of("mask " + hold.mask() + " names accelerators that aren't here");
        }
        for (Held other : leases.values()) {
            if ((other.mask & hold.mask()) != 0 && !other.state.isEnded()) {
                return Optional.of("accelerators are held by " + other.job);
            }
        }
        leases.put(hold.job(), new Held(hold, nowMillis));
        highestTokens.put(hold.job(), hold.token());
        version++;
        return Optional.empty();
    }

    Optional<String> commit(WorkerCommand.Step step, long nowMillis) {
        Held held = current(step, nowMillis);
        if (held == null || held.state.isEnded()) {
            return Optional.of("no hold of " + step.job() + " under token " + step.token());
        }
        if (held.state == LeaseState.HELD) {
            held.state = LeaseState.COMMITTED;
            held.expiresAt = nowMillis + step.ttlMillis();
            version++;
        }
        return Optional.empty();
    }

    Optional<String> start(WorkerCommand.Step step, TaskScript script, long nowMillis) {
        Held held = current(step, nowMillis);
        if (held == null || held.state.isEnded()) {
            return Optional.of("no hold of " + step.job() + " under token " + step.token());
        }
        if (held.state != LeaseState.RUNNING) {
            held.state = LeaseState.RUNNING;
            held.expiresAt = nowMillis + step.ttlMillis();
            held.startedAt = nowMillis;
            held.endsAt = nowMillis + Math.max(0, script.runMillis() - held.resumedMillis);
            started.add(step.job());
            version++;
        }
        return Optional.empty();
    }

    /** Returns how long the task has run in all, which a later hold may resume from. */
    Optional<String> checkpoint(WorkerCommand.Step step, long nowMillis) {
        Held held = current(step, nowMillis);
        if (held == null || held.state != LeaseState.RUNNING) {
            return Optional.empty();
        }
        held.checkpointedMillis = held.ranMillis(nowMillis);
        return Optional.of("" + held.checkpointedMillis);
    }

    Optional<String> throttle(WorkerCommand.Throttle throttle, long nowMillis) {
        Held held = current(new WorkerCommand.Step(throttle.job(), throttle.token(), 0), nowMillis);
        if (held == null || held.state != LeaseState.RUNNING) {
            return Optional.of("no run of " + throttle.job() + " under " + throttle.token());
        }
        held.throttle(throttle.percent(), nowMillis, throttle.ttlMillis());
        return Optional.empty();
    }

    Optional<String> stop(WorkerCommand.Step step, long nowMillis) {
        advance(nowMillis);
        long highest = highestTokens.getOrDefault(step.job(), 0L);
        if (step.token() < highest) {
            return Optional.of("token " + step.token() + " is old");
        }
        highestTokens.put(step.job(), step.token());
        Held held = leases.remove(step.job());
        if (held != null) {
            version++;
        }
        if (held != null && held.state == LeaseState.RUNNING) {
            discardedMillis += held.ranMillis(nowMillis) - held.checkpointedMillis;
        }
        return Optional.empty();
    }

    void renew(WorkerCommand.Renewal renewal, long ttlMillis, long nowMillis) {
        Held held = current(new WorkerCommand.Step(renewal.job(), renewal.token(), 0), nowMillis);
        if (held != null) {
            held.expiresAt = Math.max(held.expiresAt, nowMillis + ttlMillis);
        }
    }

    List<Lease> leases(long nowMillis) {
        advance(nowMillis);
        return leases.values().stream()
                .map(
                        held ->
                                new Lease(
                                        held.job,
                                        held.token,
                                        held.mask,
                                        held.state,
                                        held.expiresAt - nowMillis,
                                        held.note))
                .toList();
    }

    int busy() {
        return leases.values().stream()
                .filter(held -> held.state == LeaseState.RUNNING)
                .mapToInt(held -> Long.bitCount(held.mask))
                .sum();
    }

    Optional<GangNote> note(JobId job) {
        return Optional.ofNullable(leases.get(job)).map(held -> held.note);
    }

    /** Lets tasks end and leases lapse up to a time. */
    void advance(long nowMillis) {
        for (Held held : List.copyOf(leases.values())) {
            if (held.state == LeaseState.RUNNING && held.isOver(nowMillis)) {
                held.state = failing ? LeaseState.FAILED : LeaseState.DONE;
                held.expiresAt = nowMillis + ENDED_KEPT_MILLIS;
                version++;
            } else if (held.expiresAt <= nowMillis) {
                leases.remove(held.job);
                version++;
            }
        }
    }

    private Held current(WorkerCommand.Step step, long nowMillis) {
        advance(nowMillis);
        Held held = leases.get(step.job());
        if (held == null || step.token() < held.token) {
            return null;
        }
        held.token = step.token();
        highestTokens.put(step.job(), step.token());
        return held;
    }
}
