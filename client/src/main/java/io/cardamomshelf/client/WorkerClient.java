package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.lease.WorkerReport;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import java.util.Optional;

/**
 * The client of the workers' leases and reports.
 *
 * <p>Use: {@code workers.hold(endpoint, hold)}, then {@code commit} on the lead, then {@code start}
 * on each member. A refusal fails with the verdict {@code NOT_RUN}; a lost answer with {@code
 * MAY_HAVE_RUN}, and the worker's next report tells.
 *
 * <p>Thread-safe.
 */
public final class WorkerClient {

    private static final int CONNECTIONS = 4;
    private static final long TIMEOUT_MILLIS = 1_500;

    private final HttpCalls calls;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     */
    public WorkerClient(Vertx vertx) {
        this.calls = new HttpCalls(vertx, CONNECTIONS);
    }

    /**
     * Holds a member's accelerators.
     *
     * @param worker where the worker listens, not null
     * @param hold what to hold, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> hold(Endpoint worker, WorkerCommand.Hold hold) {
        return command(worker, "/v1/leases/hold", hold);
    }

    /**
     * Commits a gang on its lead member, once.
     *
     * @param worker where the lead's worker listens, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> commit(Endpoint worker, WorkerCommand.Step step) {
        return command(worker, "/v1/leases/commit", step);
    }

    /**
     * Starts a member whose hold hasn't lapsed.
     *
     * @param worker where the member's worker listens, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> start(Endpoint worker, WorkerCommand.Step step) {
        return command(worker, "/v1/leases/start", step);
    }

    /**
     * Slows a running member down for a while.
     *
     * @param worker where the member's worker listens, not null
     * @param throttle the member, its share and the time, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> throttle(Endpoint worker, WorkerCommand.Throttle throttle) {
        return command(worker, "/v1/leases/throttle", throttle);
    }

    /**
     * Checkpoints a running member; it runs on.
     *
     * @param worker where the member's worker listens, not null
     * @param step the gang, not null
     * @return what a later hold may resume from; fails with {@link PlatformException}
     */
    public Uni<String> checkpoint(Endpoint worker, WorkerCommand.Step step) {
        return calls.send(
                        calls.request(HttpMethod.POST, worker, "/v1/leases/checkpoint"),
                        Json.write(step),
                        TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parsed(response, WorkerCommand.Checkpoint.class))
                .map(WorkerCommand.Checkpoint::checkpoint);
    }

    /**
     * Stops a member and releases its accelerators; does nothing if it holds none.
     *
     * @param worker where the member's worker listens, not null
     * @param step the gang, not null
     * @return nothing; fails with {@link PlatformException}
     */
    public Uni<Void> stop(Endpoint worker, WorkerCommand.Step step) {
        return command(worker, "/v1/leases/stop", step);
    }

    /**
     * Renews leases and reads the worker's report.
     *
     * @param worker where the worker listens, not null
     * @param poll the leases and the last version, not null
     * @return the report, empty if nothing has changed; fails with {@link PlatformException}
     */
    public Uni<Optional<WorkerReport>> poll(Endpoint worker, WorkerCommand.Poll poll) {
        return calls.send(
                        calls.request(HttpMethod.POST, worker, "/v1/report"),
                        Json.write(poll),
                        TIMEOUT_MILLIS)
                .chain(
                        response ->
                                response.statusCode() == HttpCalls.NO_CONTENT
                                        ? Uni.createFrom().item(Optional.<WorkerReport>empty())
                                        : HttpCalls.parsed(response, WorkerReport.class)
                                                .map(Optional::of));
    }

    private Uni<Void> command(Endpoint worker, String path, WorkerCommand command) {
        return calls.send(
                        calls.request(HttpMethod.POST, worker, path),
                        Json.write(command),
                        TIMEOUT_MILLIS)
                .replaceWithVoid();
    }
}
