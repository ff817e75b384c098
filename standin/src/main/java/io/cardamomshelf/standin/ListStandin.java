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
 * Stands in for the platform's list of running and draining instances, which may lag.
 *
 * <p>Use: {@code list.put(instance)} or {@code PUT /instances}; {@code list.lag(millis)} or {@code
 * PUT /admin/lag} with {@code {"millis":30000}}. Readers get the list as it was that long ago.
 *
 * <p>Thread-safe.
 */
public final class ListStandin extends HttpStandin {

    private record Version(long atMillis, List<Instance> instances) {}

    private record Listed(List<Instance> instances) {}

    private record LagForm(long millis) {}

    private final Map<String, Instance> instances = new TreeMap<>();
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
     * Adds or replaces an instance.
     *
     * @param instance the instance, not null
     */
    public synchronized void put(Instance instance) {
        instances.put(instance.id(), instance);
        versions.addLast(new Version(System.currentTimeMillis(), List.copyOf(instances.values())));
    }

    /**
     * Removes an instance.
     *
     * @param id its name, not null
     */
    public synchronized void remove(String id) {
        instances.remove(id);
        versions.addLast(new Version(System.currentTimeMillis(), List.copyOf(instances.values())));
    }

    /**
     * Sets the lag.
     *
     * @param millis the age of the list that readers get, in milliseconds
     */
    public synchronized void setLag(long millis) {
        lagMillis = millis;
    }

    @Override
    void addRoutes(Router router) {
        router.get("/instances")
                .handler(context -> reply(context, OK, new Listed(visibleInstances())));
        addPutRoute(router, "/instances", Instance.class, this::put);
        router.delete("/instances/:id").handler(this::delete);
        addPutRoute(router, "/admin/lag", LagForm.class, form -> setLag(form.millis()));
    }

    private void delete(RoutingContext context) {
        remove(context.pathParam("id"));
        reply(context, OK, new Listed(visibleInstances()));
    }

    private synchronized List<Instance> visibleInstances() {
        long horizon = System.currentTimeMillis() - lagMillis;
        while (versions.size() > 1 && secondVersion().atMillis() <= horizon) {
            versions.removeFirst();
        }
        return versions.peekFirst().instances();
    }

    private Version secondVersion() {
        return versions.stream().skip(1).findFirst().orElseThrow();
    }
}
