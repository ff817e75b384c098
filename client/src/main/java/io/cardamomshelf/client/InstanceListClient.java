package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.membership.Instance;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import java.util.List;

/**
 * The client of the platform's lagging list of live and leaving instances.
 *
 * <p>Use: {@code list.instances()} at each round.
 *
 * <p>Thread-safe.
 */
public final class InstanceListClient {

    private static final long TIMEOUT_MILLIS = 2_000;

    private record Listed(List<Instance> instances) {}

    private final HttpCalls calls;
    private final Endpoint list;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param list where the list is, not null
     */
    public InstanceListClient(Vertx vertx, Endpoint list) {
        this.calls = new HttpCalls(vertx, 1);
        this.list = list;
    }

    /**
     * Reads the list.
     *
     * @return the instances; fails with {@link PlatformException}
     */
    public Uni<List<Instance>> instances() {
        return calls.send(calls.request(HttpMethod.GET, list, "/instances"), null, TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parsed(response, Listed.class))
                .map(Listed::instances);
    }
}
