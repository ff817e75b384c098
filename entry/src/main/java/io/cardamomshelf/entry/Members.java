package io.cardamomshelf.entry;

import io.cardamomshelf.client.InstanceListClient;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.membership.ConfigurationFreshness;
import io.cardamomshelf.core.membership.Instance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The instances known: the platform's lagging list joined with the heartbeats of other entries.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Members {

    /** How long an entry counts as live after its last heartbeat. */
    static final long LIVE_MILLIS = 3_000;

    private record Beat(ConfigurationFreshness.PeerReport sight, boolean leaving) {}

    private final InstanceIdentity self;
    private final InstanceListClient list;
    private final Map<String, Instance> listed = new LinkedHashMap<>();
    private final Map<InstanceId, Beat> beats = new HashMap<>();

    Members(InstanceIdentity self, InstanceListClient list) {
        this.self = self;
        this.list = list;
    }

    /** Reads the list; an unreachable list leaves the last one in use. */
    void refresh(Runnable then) {
        list.instances()
                .subscribe()
                .with(
                        instances -> {
                            listed.clear();
                            instances.forEach(instance -> listed.put(instance.id(), instance));
                            then.run();
                        },
                        failure -> then.run());
    }

    Collection<Instance> workers() {
        return listed.values().stream()
                .filter(instance -> instance.role() == Instance.Role.WORKER)
                .toList();
    }

    Collection<Instance> otherEntries() {
        return listed.values().stream()
                .filter(instance -> instance.role() == Instance.Role.ENTRY)
                .filter(instance -> !instance.id().equals(self.name()))
                .toList();
    }

    Optional<Endpoint> endpoint(WorkerId worker) {
        return Optional.ofNullable(listed.get(worker.value()))
                .map(instance -> new Endpoint(instance.host(), instance.port()));
    }

    void beat(InstanceId instance, ConfigurationFreshness.PeerReport sight, boolean leaving) {
        beats.put(instance, new Beat(sight, leaving));
    }

    void forget(long nowMillis) {
        beats.values().removeIf(beat -> nowMillis - beat.sight().atMillis() > 10 * LIVE_MILLIS);
    }

    Collection<ConfigurationFreshness.PeerReport> sights() {
        return beats.values().stream().map(Beat::sight).toList();
    }

    /** Returns the other data centres that have entries by the list. */
    Set<DataCentreId> otherDataCentres() {
        Set<DataCentreId> others = new HashSet<>();
        otherEntries().forEach(entry -> others.add(entry.dataCentre()));
        others.remove(self.dataCentre());
        return others;
    }

    /** Returns the runs of entries that live and aren't leaving, this one included. */
    List<String> liveEntries(long nowMillis, boolean selfLeaving) {
        List<String> live = new ArrayList<>();
        beats.forEach(
                (instance, beat) -> {
                    boolean recent = nowMillis - beat.sight().atMillis() <= LIVE_MILLIS;
                    if (recent && !beat.leaving()) {
                        live.add(instance.value());
                    }
                });
        if (!selfLeaving) {
            live.add(self.run().value());
        }
        return live;
    }
}
