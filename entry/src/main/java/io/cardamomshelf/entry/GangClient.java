package io.cardamomshelf.entry;

import io.cardamomshelf.client.PlatformException;
import io.cardamomshelf.client.WorkerClient;
import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Takes a gang through its steps on all members: hold, commit, start, or stop.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class GangClient {

    /** How long a hold lasts; a holder that was paused longer can't commit or start. */
    static final long HOLD_TTL_MILLIS = 3_000;

    /** How long a member stays paused at most, if whoever paused it doesn't come back. */
    static final long PAUSE_TTL_MILLIS = 5_000;

    private static final int PAUSED_PERCENT = 0;
    private static final int RETRIES = 2;

    private final Members members;
    private final WorkerClient client;

    GangClient(Members members, WorkerClient client) {
        this.members = members;
        this.client = client;
    }

    /**
     * Holds all members, or none that this call can still undo. A member that refused isn't touched
     * again: it may run the same gang under an older token.
     */
    Uni<Void> hold(GangNote note, long token, String resume) {
        List<Slice> touched = new ArrayList<>();
        return onAll(
                        note.placement().slices(),
                        (endpoint, slice) ->
                                client.hold(
                                                endpoint,
                                                new WorkerCommand.Hold(
                                                        note.job(),
                                                        token,
                                                        slice.mask(),
                                                        HOLD_TTL_MILLIS,
                                                        note,
                                                        resume))
                                        .onItemOrFailure()
                                        .invoke(
                                                (done, failure) -> {
                                                    if (failure == null || mayHold(failure)) {
                                                        touched.add(slice);
                                                    }
                                                }))
                .onFailure()
                .call(() -> stop(note.job(), touched, token));
    }

    private static boolean mayHold(Throwable failure) {
        return PlatformException.verdictOf(failure) != Verdict.NOT_RUN;
    }

    /** Commits on the lead; a lost answer is asked for again, which the lead answers the same. */
    Uni<Void> commit(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, HOLD_TTL_MILLIS);
        return on(
                placement.lead().worker(),
                endpoint -> client.commit(endpoint, step).onFailure().retry().atMost(RETRIES));
    }

    Uni<Void> start(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, FleetFollower.RUN_TTL_MILLIS);
        return onAll(
                placement.slices(),
                (endpoint, slice) ->
                        client.start(endpoint, step).onFailure().retry().atMost(RETRIES));
    }

    /** Pauses all members for a while, so that a checkpoint and the stop after it lose no work. */
    Uni<Void> pause(JobId job, Placement placement, long token) {
        WorkerCommand.Throttle throttle =
                new WorkerCommand.Throttle(job, token, PAUSED_PERCENT, PAUSE_TTL_MILLIS);
        return onAll(placement.slices(), (endpoint, slice) -> client.throttle(endpoint, throttle));
    }

    /** Checkpoints all members; empty if one can't, for a part of a gang can't be resumed. */
    Uni<String> checkpoint(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, 0);
        List<Uni<String>> calls =
                placement.slices().stream()
                        .map(
                                slice ->
                                        on(
                                                slice.worker(),
                                                endpoint -> client.checkpoint(endpoint, step)))
                        .toList();
        return Uni.join()
                .all(calls)
                .andCollectFailures()
                .map(texts -> texts.get(0))
                .onFailure()
                .recoverWithItem("");
    }

    /** Stops on all members; one that can't be reached lets its lease lapse. */
    Uni<Void> stop(JobId job, Placement placement, long token) {
        return stop(job, placement.slices(), token);
    }

    private Uni<Void> stop(JobId job, List<Slice> slices, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, 0);
        return onAll(
                slices,
                (endpoint, slice) ->
                        client.stop(endpoint, step)
                                .onFailure()
                                .retry()
                                .atMost(RETRIES)
                                .onFailure()
                                .recoverWithNull());
    }

    private Uni<Void> onAll(List<Slice> slices, BiFunction<Endpoint, Slice, Uni<Void>> call) {
        if (slices.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        List<Uni<Void>> calls =
                slices.stream()
                        .map(slice -> on(slice.worker(), endpoint -> call.apply(endpoint, slice)))
                        .toList();
        return Uni.join().all(calls).andCollectFailures().replaceWithVoid();
    }

    private <T> Uni<T> on(WorkerId worker, Function<Endpoint, Uni<T>> call) {
        return members.endpoint(worker)
                .map(call)
                .orElseGet(
                        () ->
                                Uni.createFrom()
                                        .failure(
                                                new PlatformException(
                                                        Verdict.NOT_RUN,
                                                        "worker " + worker + " isn't listed")));
    }
}
