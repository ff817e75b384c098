package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream of each attempt: nearest first, then the less loaded of two drawn at random.
 *
 * <p>Use: {@code chooser.choose(where, tried, now, random)} takes a place on the upstream; report
 * the end with {@code release}. Nearness has three rings: own data centre, own region, the rest. A
 * ring is left only when none of its upstreams may take the request, so that the slow link between
 * regions carries what has no place nearer.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class UpstreamChooser {

    private static final int RINGS = 3;

    private final DataCentreId ownDataCentre;
    private final String ownRegion;
    private final int maxInFlight;
    private final Map<WorkerId, Upstream> upstreams = new LinkedHashMap<>();

    /**
     * Creates a chooser without upstreams.
     *
     * @param ownDataCentre the entry's data centre, not null
     * @param ownRegion the entry's region, not null
     * @param maxInFlight the most requests in flight at one upstream, 1 to 10,000
     */
    public UpstreamChooser(DataCentreId ownDataCentre, String ownRegion, int maxInFlight) {
        this.ownDataCentre = Checks.notNull("ownDataCentre", ownDataCentre);
        this.ownRegion = Checks.notNull("ownRegion", ownRegion);
        this.maxInFlight = maxInFlight;
    }

    /**
     * Adds an upstream or updates whether it is leaving.
     *
     * @param worker the worker, not null
     * @param dataCentre where it is, not null
     * @param region the data centre's region, not null
     * @param leaving true if it must get no new work
     */
    public void put(WorkerId worker, DataCentreId dataCentre, String region, boolean leaving) {
        upstreams
                .computeIfAbsent(worker, id -> new Upstream(id, dataCentre, region, maxInFlight))
                .leave(leaving);
    }

    /**
     * Forgets the upstreams that are not among those given.
     *
     * @param workers the workers to keep, not null
     */
    public void retain(Set<WorkerId> workers) {
        upstreams.keySet().retainAll(workers);
    }

    /**
     * Returns all upstreams.
     *
     * @return the upstreams, never null
     */
    public Collection<Upstream> upstreams() {
        return List.copyOf(upstreams.values());
    }

    /**
     * Chooses an upstream and takes a place on it.
     *
     * @param where the data centres that may serve the request, not null
     * @param tried the workers to pass over, not null
     * @param nowMillis the time, in milliseconds
     * @param random the source of the draw, not null
     * @return the upstream, empty if none may take the request
     */
    public Optional<Upstream> choose(
            Predicate<DataCentreId> where,
            Set<WorkerId> tried,
            long nowMillis,
            RandomGenerator random) {
        List<List<Upstream>> rings = rings(where, tried, nowMillis);
        for (List<Upstream> ring : rings) {
            if (!ring.isEmpty()) {
                Upstream chosen = lessLoaded(ring, random);
                chosen.limit().tryAcquire();
                chosen.breaker().recordAttempt();
                return Optional.of(chosen);
            }
        }
        return Optional.empty();
    }

    /**
     * Asks whether an upstream could take a request if it weren't for those in flight there.
     *
     * @param where the data centres that may serve the request, not null
     * @param tried the workers to pass over, not null
     * @param nowMillis the time, in milliseconds
     * @return true if waiting for a place may help
     */
    public boolean hasUsableUpstream(
            Predicate<DataCentreId> where, Set<WorkerId> tried, long nowMillis) {
        return upstreams.values().stream()
                .filter(upstream -> isUsable(upstream, nowMillis))
                .filter(upstream -> where.test(upstream.dataCentre()))
                .anyMatch(upstream -> !tried.contains(upstream.worker()));
    }

    /**
     * Gives back the place of an attempt and learns from its end.
     *
     * @param upstream the upstream that was chosen, not null
     * @param success whether the attempt ended well
     * @param nowMillis the time, in milliseconds
     * @return true if this failure ejected the upstream
     */
    public boolean release(Upstream upstream, boolean success, long nowMillis) {
        upstream.limit().release(success);
        if (success) {
            upstream.breaker().recordSuccess();
            return false;
        }
        return upstream.breaker().recordFailure(nowMillis);
    }

    private List<List<Upstream>> rings(
            Predicate<DataCentreId> where, Set<WorkerId> tried, long nowMillis) {
        List<List<Upstream>> rings = new ArrayList<>();
        for (int ring = 0; ring < RINGS; ring++) {
            rings.add(new ArrayList<>());
        }
        for (Upstream upstream : upstreams.values()) {
            if (isAvailable(upstream, nowMillis)
                    && where.test(upstream.dataCentre())
                    && !tried.contains(upstream.worker())) {
                rings.get(ring(upstream)).add(upstream);
            }
        }
        return rings;
    }

    private static boolean isAvailable(Upstream upstream, long nowMillis) {
        return isUsable(upstream, nowMillis)
                && upstream.limit().inFlight() < upstream.limit().limit();
    }

    private static boolean isUsable(Upstream upstream, long nowMillis) {
        return !upstream.isLeaving() && !upstream.breaker().isOpen(nowMillis);
    }

    private int ring(Upstream upstream) {
        if (upstream.dataCentre().equals(ownDataCentre)) {
            return 0;
        }
        return upstream.region().equals(ownRegion) ? 1 : 2;
    }

    private static Upstream lessLoaded(List<Upstream> ring, RandomGenerator random) {
        Upstream first = ring.get(random.nextInt(ring.size()));
        Upstream second = ring.get(random.nextInt(ring.size()));
        return first.limit().inFlight() <= second.limit().inFlight() ? first : second;
    }
}
