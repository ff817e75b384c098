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
 * Chooses the upstream for each attempt: the less loaded of two random upstreams of the nearest
 * available tier.
 *
 * <p>Use: {@code chooser.choose(allowed, tried, now, random)} chooses an upstream and acquires a
 * slot on it; report the end of the attempt with {@code release}. There are three tiers of
 * upstreams: those in the entry instance's data centre, those elsewhere in its region, and the
 * others. A tier is used only if no upstream of a nearer tier can accept the request, so that the
 * slow link between regions carries only requests that have no nearer upstream.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class UpstreamChooser {

    private static final int TIERS = 3;

    private final DataCentreId ownDataCentre;
    private final String ownRegion;
    private final int maxInFlight;
    private final Map<WorkerId, Upstream> upstreams = new LinkedHashMap<>();

    /**
     * Creates a chooser without upstreams.
     *
     * @param ownDataCentre the entry instance's data centre, not null
     * @param ownRegion the entry instance's region, not null
     * @param maxInFlight the maximum number of requests in flight at one upstream, 1 to 10,000
     */
    public UpstreamChooser(DataCentreId ownDataCentre, String ownRegion, int maxInFlight) {
        this.ownDataCentre = Checks.notNull("ownDataCentre", ownDataCentre);
        this.ownRegion = Checks.notNull("ownRegion", ownRegion);
        this.maxInFlight = maxInFlight;
    }

    /**
     * Adds an upstream or updates whether it is draining.
     *
     * @param worker the worker, not null
     * @param dataCentre the worker's data centre, not null
     * @param region the data centre's region, not null
     * @param draining true if it must get no new requests
     */
    public void put(WorkerId worker, DataCentreId dataCentre, String region, boolean draining) {
        upstreams
                .computeIfAbsent(worker, id -> new Upstream(id, dataCentre, region, maxInFlight))
                .setDraining(draining);
    }

    /**
     * Removes all upstreams except those of the given workers.
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
     * Chooses an upstream and acquires a slot on it.
     *
     * @param allowed accepts the data centres that may serve the request, not null
     * @param tried the workers to exclude because they were tried before, not null
     * @param nowMillis the time, in milliseconds
     * @param random the source of randomness, not null
     * @return the upstream, empty if none can accept the request
     */
    public Optional<Upstream> choose(
            Predicate<DataCentreId> allowed,
            Set<WorkerId> tried,
            long nowMillis,
            RandomGenerator random) {
        List<List<Upstream>> tiers = tiers(allowed, tried, nowMillis);
        for (List<Upstream> tier : tiers) {
            if (!tier.isEmpty()) {
                Upstream chosen = lessLoaded(tier, random);
                chosen.limit().tryAcquire();
                chosen.breaker().recordAttempt();
                return Optional.of(chosen);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether some upstream could accept a request, ignoring its limit on requests in
     * flight.
     *
     * @param allowed accepts the data centres that may serve the request, not null
     * @param tried the workers to exclude because they were tried before, not null
     * @param nowMillis the time, in milliseconds
     * @return true if it is useful to wait for a slot
     */
    public boolean hasUsableUpstream(
            Predicate<DataCentreId> allowed, Set<WorkerId> tried, long nowMillis) {
        return upstreams.values().stream()
                .filter(upstream -> isUsable(upstream, nowMillis))
                .filter(upstream -> allowed.test(upstream.dataCentre()))
                .anyMatch(upstream -> !tried.contains(upstream.worker()));
    }

    /**
     * Releases the slot of an attempt and updates the upstream's limit and breaker by its outcome.
     *
     * @param upstream the upstream that was chosen, not null
     * @param success whether the attempt succeeded
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

    private List<List<Upstream>> tiers(
            Predicate<DataCentreId> allowed, Set<WorkerId> tried, long nowMillis) {
        List<List<Upstream>> tiers = new ArrayList<>();
        for (int tier = 0; tier < TIERS; tier++) {
            tiers.add(new ArrayList<>());
        }
        for (Upstream upstream : upstreams.values()) {
            if (isAvailable(upstream, nowMillis)
                    && allowed.test(upstream.dataCentre())
                    && !tried.contains(upstream.worker())) {
                tiers.get(tier(upstream)).add(upstream);
            }
        }
        return tiers;
    }

    private static boolean isAvailable(Upstream upstream, long nowMillis) {
        return isUsable(upstream, nowMillis)
                && upstream.limit().inFlight() < upstream.limit().limit();
    }

    private static boolean isUsable(Upstream upstream, long nowMillis) {
        return !upstream.isDraining() && !upstream.breaker().isOpen(nowMillis);
    }

    private int tier(Upstream upstream) {
        if (upstream.dataCentre().equals(ownDataCentre)) {
            return 0;
        }
        return upstream.region().equals(ownRegion) ? 1 : 2;
    }

    private static Upstream lessLoaded(List<Upstream> tier, RandomGenerator random) {
        Upstream first = tier.get(random.nextInt(tier.size()));
        Upstream second = tier.get(random.nextInt(tier.size()));
        return first.limit().inFlight() <= second.limit().inFlight() ? first : second;
    }
}
