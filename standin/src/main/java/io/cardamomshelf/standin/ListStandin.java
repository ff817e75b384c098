package io.cardamomshelf.standin;

import io.cardamomshelf.core.membership.Instance;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the platform's lagging list of live and leaving instances.
 *
 * <p>Use: {@code list.put(instance)} or {@code PUT /instances}; {@code list.lag(millis)} or {@code
 * PUT /admin/lag} with {@code {"millis":30000}}. Readers see the list as it was that long ago.
 *
 * <p>Thread-safe.
 */
public final class ListStandin extends HttpStandin {

    private record Version(long atMillis, List<Instance> instances) {}

    private record Listed(List<Instance> instances) {}

    private record LagForm(long millis) {}

    private final Map<String, Instance> live = new TreeMap<>();
    private final Deque<Version> versions = new ArrayDeque<>();
    private long lagMillis;

    /**
     * Creates an empty list without lag.
     *
     * @param vertx the event loops, not null
     */
    public ListStandin(Vertx vertx) {
        super(vertx);
        versions.add(new Version(0, List.of()));
    }

    /**
     * Adds an instance or changes it.
     *
     * @param instance the instance, not null
     */
    public synchronized void put(Instance instance) {
        live.put(instance.id(), instance);
        versions.addLast(new Version(System.currentTimeMillis(), List.copyOf(live.values())));
    }

    /**
     * Removes an instance.
     *
     * @param id its name, not null
     */
    public synchronized void remove(String id) {
        live.remove(id);
        versions.addLast(new Version(System.currentTimeMillis(), List.copyOf(live.values())));
    }

    /**
     * Sets the lag.
     *
     * @param millis how old the list is that readers see, in milliseconds
     */
    public synchronized void lag(long millis) {
        lagMillis = millis;
    }

    @Override
    void route(Router router) {
        router.get("/instances").handler(context -> reply(context, OK, new Listed(seen())));
        onPut(router, "/instances", Instance.class, this::put);
        router.delete("/instances/:id").handler(this::delete);
        onPut(router, "/admin/lag", LagForm.class, form -> lag(form.millis()));
    }

    private void delete(RoutingContext context) {
        remove(context.pathParam("id"));
        reply(context, OK, new Listed(seen()));
    }

    private synchronized List<Instance> seen() {
        long horizon = System.currentTimeMillis() - lagMillis;
        while (versions.size() > 1 && second().atMillis() <= horizon) {
            versions.removeFirst();
        }
        return versions.peekFirst().instances();
    }

    private Version second() {
        return versions.stream().skip(1).findFirst().orElseThrow();
    }
}
