package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.membership.Instance;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import java.util.List;

/**
 * Reads the platform's list of running instances and of those that are shutting down. The list lags
 * behind their actual state.
 *
 * <p>Use: {@code list.instances()}, at regular intervals.
 *
 * <p>Thread-safe.
 */
public final class InstanceListClient {

    private static final long TIMEOUT_MILLIS = 2_000;

    private record Listed(List<Instance> instances) {}

    private final HttpCalls calls;
    private final Endpoint endpoint;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param list the endpoint of the list, not null
     */
    public InstanceListClient(Vertx vertx, Endpoint list) {
        this.calls = new HttpCalls(vertx, 1);
        this.endpoint = list;
    }

    /**
     * Reads the listed instances.
     *
     * @return the instances; fails with {@link PlatformException}
     */
    public Uni<List<Instance>> instances() {
        return calls.send(
                        HttpCalls.request(HttpMethod.GET, endpoint, "/instances"),
                        null,
                        TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parseBody(response, Listed.class))
                .map(Listed::instances);
    }
}
