package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.lease.WorkerReport;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import java.util.Optional;

/**
 * Sends lease commands to workers and reads their reports.
 *
 * <p>Use: {@code workers.hold(endpoint, hold)} for each member of a gang, then {@code commit} on
 * the lead member, then {@code start} on each member. A refused call fails with the verdict {@code
 * NOT_RUN}. A call whose response is lost fails with {@code MAY_HAVE_RUN}; the worker's next report
 * shows whether it took effect.
 *
 * <p>Thread-safe.
 */
public final class WorkerClient {

    private static final int MAX_CONNECTIONS = 4;
    private static final long TIMEOUT_MILLIS = 1_500;

    private final HttpCalls calls;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     */
    public WorkerClient(Vertx vertx) {
        this.calls = new HttpCalls(vertx, MAX_CONNECTIONS);
    }

    /**
     * Holds accelerators for a member.
     *
     * @param worker the worker's endpoint, not null
     * @param hold the member and its accelerators, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> hold(Endpoint worker, WorkerCommand.Hold hold) {
        return sendCommand(worker, "/v1/leases/hold", hold);
    }

    /**
     * Commits a gang on its lead member; a gang is committed once.
     *
     * @param worker the endpoint of the lead member's worker, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> commit(Endpoint worker, WorkerCommand.Step step) {
        return sendCommand(worker, "/v1/leases/commit", step);
    }

    /**
     * Starts a member whose hold hasn't expired.
     *
     * @param worker the endpoint of the member's worker, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> start(Endpoint worker, WorkerCommand.Step step) {
        return sendCommand(worker, "/v1/leases/start", step);
    }

    /**
     * Slows a running member down for a limited time.
     *
     * @param worker the endpoint of the member's worker, not null
     * @param throttle the member, its share of its speed and the duration, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> throttle(Endpoint worker, WorkerCommand.Throttle throttle) {
        return sendCommand(worker, "/v1/leases/throttle", throttle);
    }

    /**
     * Checkpoints a running member, which continues to run.
     *
     * @param worker the endpoint of the member's worker, not null
     * @param step the gang, not null
     * @return the checkpoint, from which a later hold may resume; fails with {@link
     *     PlatformException}
     */
    public Uni<String> checkpoint(Endpoint worker, WorkerCommand.Step step) {
        return calls.send(
                        HttpCalls.request(HttpMethod.POST, worker, "/v1/leases/checkpoint"),
                        Json.write(step),
                        TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parseBody(response, WorkerCommand.Checkpoint.class))
                .map(WorkerCommand.Checkpoint::checkpoint);
    }

    /**
     * Stops a member and releases its accelerators; does nothing if it holds none.
     *
     * @param worker the endpoint of the member's worker, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> stop(Endpoint worker, WorkerCommand.Step step) {
        return sendCommand(worker, "/v1/leases/stop", step);
    }

    /**
     * Renews leases and reads the worker's report.
     *
     * @param worker the worker's endpoint, not null
     * @param poll the leases to renew and the version of the last report read, not null
     * @return the report, empty if nothing has changed; fails with {@link PlatformException}
     */
    public Uni<Optional<WorkerReport>> poll(Endpoint worker, WorkerCommand.Poll poll) {
        return calls.send(
                        HttpCalls.request(HttpMethod.POST, worker, "/v1/report"),
                        Json.write(poll),
                        TIMEOUT_MILLIS)
                .chain(
                        response ->
                                response.status() == HttpCalls.NO_CONTENT
                                        ? Uni.createFrom().item(Optional.<WorkerReport>empty())
                                        : HttpCalls.parseBody(response, WorkerReport.class)
                                                .map(Optional::of));
    }

    private Uni<Void> sendCommand(Endpoint worker, String path, WorkerCommand command) {
        return calls.send(
                        HttpCalls.request(HttpMethod.POST, worker, path),
                        Json.write(command),
                        TIMEOUT_MILLIS)
                .replaceWithVoid();
    }
}
