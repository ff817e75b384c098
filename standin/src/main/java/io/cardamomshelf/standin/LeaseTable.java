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
 * The leases of a stand-in worker and the simulated progress of its tasks, by the worker's clock.
 *
 * <p>Use: a command returns an empty result if it is granted, otherwise the reason for the refusal;
 * only {@code checkpoint} returns a checkpoint if it is granted. A command under a token below the
 * lease's is refused; a higher token replaces the lease's token.
 *
 * <p>Not thread-safe: {@link WorkerStandin} synchronises the calls.
 */
final class LeaseTable {

    private static final long ENDED_KEPT_MILLIS = 60_000;
    private static final int FULL_SPEED = 100;

    private static final class LeaseEntry {
        private final JobId job;
        private final long mask;
        private final GangNote annotation;
        private long token;
        private LeaseState state = LeaseState.HELD;
        private long expiresAtMillis;
        private long endsAtMillis;
        private long startedAtMillis;
        private long throttledFromMillis;
        private long throttledUntilMillis;
        private int percent = FULL_SPEED;
        private double lostMillis;
        private long checkpointedMillis;
        private long resumedFromMillis;

        LeaseEntry(WorkerCommand.Hold hold, long nowMillis) {
            job = hold.job();
            mask = hold.mask();
            annotation = hold.note();
            token = hold.token();
            expiresAtMillis = nowMillis + hold.ttlMillis();
            resumedFromMillis = hold.resume().isEmpty() ? 0 : Long.parseLong(hold.resume());
        }

        /** Returns the run time lost to throttling up to a time, in milliseconds. */
        double lostMillis(long nowMillis) {
            long untilMillis = Math.min(nowMillis, throttledUntilMillis);
            long throttledMillis = Math.max(0, untilMillis - throttledFromMillis);
            return lostMillis + throttledMillis * (FULL_SPEED - percent) / (double) FULL_SPEED;
        }

        void throttle(int newPercent, long nowMillis, long ttlMillis) {
            lostMillis = lostMillis(nowMillis);
            percent = newPercent;
            throttledFromMillis = nowMillis;
            throttledUntilMillis = nowMillis + ttlMillis;
        }

        boolean isFinished(long nowMillis) {
            return endsAtMillis + lostMillis(nowMillis) <= nowMillis;
        }

        /** Returns the task's run time so far, earlier runs included, in milliseconds. */
        long runtimeMillis(long nowMillis) {
            return resumedFromMillis + nowMillis - startedAtMillis - (long) lostMillis(nowMillis);
        }
    }

    private final int accelerators;
    private final Map<JobId, LeaseEntry> leases = new LinkedHashMap<>();
    private final Map<JobId, Long> highestTokens = new LinkedHashMap<>();
    private final List<JobId> startedJobs = new ArrayList<>();
    private boolean failing;
    private long discardedMillis;
    private long version = 1;

    LeaseTable(int accelerators) {
        this.accelerators = accelerators;
    }

    void setFailing(boolean newFailing) {
        failing = newFailing;
    }

    long version() {
        return version;
    }

    /** Returns the job of every start since the worker's creation, in order. */
    List<JobId> startedJobs() {
        return List.copyOf(startedJobs);
    }

    /**
     * Returns the run time that stopped tasks had done since their last checkpoints, in
     * milliseconds.
     */
    long discardedMillis() {
        return discardedMillis;
    }

    Optional<String> hold(WorkerCommand.Hold hold, long nowMillis) {
        advance(nowMillis);
        if (hold.token() < highestTokens.getOrDefault(hold.job(), 0L)) {
            return Optional.of("token " + hold.token() + " is old");
        }
        LeaseEntry existing = leases.get(hold.job());
        if (existing != null) {
            return Optional.of("job " + hold.job() + " has a lease here");
        }
        if (hold.mask() == 0 || accelerators < Long.SIZE && hold.mask() >>> accelerators != 0) {
            return Optional.of("mask " + hold.mask() + " names accelerators that aren't here");
        }
        for (LeaseEntry other : leases.values()) {
            if ((other.mask & hold.mask()) != 0 && !other.state.isEnded()) {
                return Optional.of("accelerators are held by " + other.job);
            }
        }
        leases.put(hold.job(), new LeaseEntry(hold, nowMillis));
        highestTokens.put(hold.job(), hold.token());
        version++;
        return Optional.empty();
    }

    Optional<String> commit(WorkerCommand.Step step, long nowMillis) {
        LeaseEntry entry = leaseUnderToken(step, nowMillis);
        if (entry == null || entry.state.isEnded()) {
            return Optional.of("no hold of " + step.job() + " under token " + step.token());
        }
        if (entry.state == LeaseState.HELD) {
            entry.state = LeaseState.COMMITTED;
            entry.expiresAtMillis = nowMillis + step.ttlMillis();
            version++;
        }
        return Optional.empty();
    }

    Optional<String> start(WorkerCommand.Step step, TaskScript script, long nowMillis) {
        LeaseEntry entry = leaseUnderToken(step, nowMillis);
        if (entry == null || entry.state.isEnded()) {
            return Optional.of("no hold of " + step.job() + " under token " + step.token());
        }
        if (entry.state != LeaseState.RUNNING) {
            entry.state = LeaseState.RUNNING;
            entry.expiresAtMillis = nowMillis + step.ttlMillis();
            entry.startedAtMillis = nowMillis;
            entry.endsAtMillis =
                    nowMillis + Math.max(0, script.runMillis() - entry.resumedFromMillis);
            startedJobs.add(step.job());
            version++;
        }
        return Optional.empty();
    }

    /**
     * Takes a checkpoint and returns it: the task's run time so far in milliseconds, from which a
     * later hold may resume. Empty if the task doesn't run under this token.
     */
    Optional<String> checkpoint(WorkerCommand.Step step, long nowMillis) {
        LeaseEntry entry = leaseUnderToken(step, nowMillis);
        if (entry == null || entry.state != LeaseState.RUNNING) {
            return Optional.empty();
        }
        entry.checkpointedMillis = entry.runtimeMillis(nowMillis);
        return Optional.of("" + entry.checkpointedMillis);
    }

    Optional<String> throttle(WorkerCommand.Throttle throttle, long nowMillis) {
        LeaseEntry entry =
                leaseUnderToken(
                        new WorkerCommand.Step(throttle.job(), throttle.token(), 0), nowMillis);
        if (entry == null || entry.state != LeaseState.RUNNING) {
            return Optional.of("no run of " + throttle.job() + " under " + throttle.token());
        }
        entry.throttle(throttle.percent(), nowMillis, throttle.ttlMillis());
        return Optional.empty();
    }

    Optional<String> stop(WorkerCommand.Step step, long nowMillis) {
        advance(nowMillis);
        long highestToken = highestTokens.getOrDefault(step.job(), 0L);
        if (step.token() < highestToken) {
            return Optional.of("token " + step.token() + " is old");
        }
        highestTokens.put(step.job(), step.token());
        LeaseEntry entry = leases.remove(step.job());
        if (entry != null) {
            version++;
        }
        if (entry != null && entry.state == LeaseState.RUNNING) {
            discardedMillis += entry.runtimeMillis(nowMillis) - entry.checkpointedMillis;
        }
        return Optional.empty();
    }

    void renew(WorkerCommand.Renewal renewal, long ttlMillis, long nowMillis) {
        LeaseEntry entry =
                leaseUnderToken(
                        new WorkerCommand.Step(renewal.job(), renewal.token(), 0), nowMillis);
        if (entry != null) {
            entry.expiresAtMillis = Math.max(entry.expiresAtMillis, nowMillis + ttlMillis);
        }
    }

    List<Lease> leases(long nowMillis) {
        advance(nowMillis);
        return leases.values().stream()
                .map(
                        entry ->
                                new Lease(
                                        entry.job,
                                        entry.token,
                                        entry.mask,
                                        entry.state,
                                        entry.expiresAtMillis - nowMillis,
                                        entry.annotation))
                .toList();
    }

    int busyAccelerators() {
        return leases.values().stream()
                .filter(entry -> entry.state == LeaseState.RUNNING)
                .mapToInt(entry -> Long.bitCount(entry.mask))
                .sum();
    }

    Optional<GangNote> annotation(JobId job) {
        return Optional.ofNullable(leases.get(job)).map(entry -> entry.annotation);
    }

    /** Ends the tasks that have finished by a time and removes the leases that have expired. */
    void advance(long nowMillis) {
        for (LeaseEntry entry : List.copyOf(leases.values())) {
            if (entry.state == LeaseState.RUNNING && entry.isFinished(nowMillis)) {
                entry.state = failing ? LeaseState.FAILED : LeaseState.DONE;
                entry.expiresAtMillis = nowMillis + ENDED_KEPT_MILLIS;
                version++;
            } else if (entry.expiresAtMillis <= nowMillis) {
                leases.remove(entry.job);
                version++;
            }
        }
    }

    /**
     * Returns a job's lease and raises its token to the command's; null if there is no lease or the
     * command's token is lower.
     */
    private LeaseEntry leaseUnderToken(WorkerCommand.Step step, long nowMillis) {
        advance(nowMillis);
        LeaseEntry entry = leases.get(step.job());
        if (entry == null || step.token() < entry.token) {
            return null;
        }
        entry.token = step.token();
        highestTokens.put(step.job(), step.token());
        return entry;
    }
}
