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
 * Sends the commands of a gang to its members: hold, commit, start, pause, checkpoint and stop.
 * {@link JobRunner} decides which command is sent when.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class GangClient {

    /** How long a hold lasts; an owner that was paused for longer can't commit or start. */
    static final long HOLD_LEASE_MILLIS = 3_000;

    /** After how long a paused member resumes if its owner sends no further command. */
    static final long MAX_PAUSE_MILLIS = 5_000;

    private static final int PAUSED_SPEED_PERCENT = 0;
    private static final int MAX_RETRIES = 2;

    private final InstanceDirectory directory;
    private final WorkerClient client;

    GangClient(InstanceDirectory directory, WorkerClient client) {
        this.directory = directory;
        this.client = client;
    }

    /**
     * Holds all members. If one fails, those that are or may be held are stopped again; a member
     * that refused isn't, since it may run the same gang under an older token.
     */
    Uni<Void> hold(GangNote note, long token, String resumeCheckpoint) {
        List<Slice> possiblyHeld = new ArrayList<>();
        return callAll(
                        note.placement().slices(),
                        (endpoint, slice) ->
                                client.hold(
                                                endpoint,
                                                new WorkerCommand.Hold(
                                                        note.job(),
                                                        token,
                                                        slice.mask(),
                                                        HOLD_LEASE_MILLIS,
                                                        note,
                                                        resumeCheckpoint))
                                        .onItemOrFailure()
                                        .invoke(
                                                (done, failure) -> {
                                                    if (failure == null || mayHaveHeld(failure)) {
                                                        possiblyHeld.add(slice);
                                                    }
                                                }))
                .onFailure()
                .call(() -> stop(note.job(), possiblyHeld, token));
    }

    private static boolean mayHaveHeld(Throwable failure) {
        return PlatformException.verdictOf(failure) != Verdict.NOT_RUN;
    }

    /** Commits on the lead member; retries are safe, as the lead repeats its answer. */
    Uni<Void> commit(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, HOLD_LEASE_MILLIS);
        return callWorker(
                placement.lead().worker(),
                endpoint -> client.commit(endpoint, step).onFailure().retry().atMost(MAX_RETRIES));
    }

    Uni<Void> start(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, WorkerPoller.RUN_LEASE_MILLIS);
        return callAll(
                placement.slices(),
                (endpoint, slice) ->
                        client.start(endpoint, step).onFailure().retry().atMost(MAX_RETRIES));
    }

    /** Pauses all members, so that no work is lost between a checkpoint and the stop. */
    Uni<Void> pause(JobId job, Placement placement, long token) {
        WorkerCommand.Throttle throttle =
                new WorkerCommand.Throttle(job, token, PAUSED_SPEED_PERCENT, MAX_PAUSE_MILLIS);
        return callAll(
                placement.slices(), (endpoint, slice) -> client.throttle(endpoint, throttle));
    }

    /**
     * Checkpoints all members and returns the lead's checkpoint; empty if one fails, as part of a
     * gang can't be resumed.
     */
    Uni<String> checkpoint(JobId job, Placement placement, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, 0);
        List<Uni<String>> calls =
                placement.slices().stream()
                        .map(
                                slice ->
                                        callWorker(
                                                slice.worker(),
                                                endpoint -> client.checkpoint(endpoint, step)))
                        .toList();
        return Uni.join()
                .all(calls)
                .andCollectFailures()
                .map(checkpoints -> checkpoints.get(0))
                .onFailure()
                .recoverWithItem("");
    }

    /** Stops all members; the lease of an unreachable member expires. */
    Uni<Void> stop(JobId job, Placement placement, long token) {
        return stop(job, placement.slices(), token);
    }

    private Uni<Void> stop(JobId job, List<Slice> slices, long token) {
        WorkerCommand.Step step = new WorkerCommand.Step(job, token, 0);
        return callAll(
                slices,
                (endpoint, slice) ->
                        client.stop(endpoint, step)
                                .onFailure()
                                .retry()
                                .atMost(MAX_RETRIES)
                                .onFailure()
                                .recoverWithNull());
    }

    private Uni<Void> callAll(List<Slice> slices, BiFunction<Endpoint, Slice, Uni<Void>> call) {
        if (slices.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        List<Uni<Void>> calls =
                slices.stream()
                        .map(
                                slice ->
                                        callWorker(
                                                slice.worker(),
                                                endpoint -> call.apply(endpoint, slice)))
                        .toList();
        return Uni.join().all(calls).andCollectFailures().replaceWithVoid();
    }

    private <T> Uni<T> callWorker(WorkerId worker, Function<Endpoint, Uni<T>> call) {
        return directory
                .endpoint(worker)
                .map(call)
                .orElseGet(
                        () ->
                                Uni.createFrom()
                                        .failure(
                                                new PlatformException(
                                                        Verdict.NOT_RUN,
                                                        "worker "
                                                                + worker
                                                                + " is not in the platform list")));
    }
}
