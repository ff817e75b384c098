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
 * The known instances: the platform's list, which may be out of date, and the heartbeats received
 * from other entries. {@link PeerNetwork} records the heartbeats.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class InstanceDirectory {

    /** How long an entry is considered live after its last heartbeat. */
    static final long HEARTBEAT_TIMEOUT_MILLIS = 3_000;

    private record ReceivedHeartbeat(
            ConfigurationFreshness.PeerReport peerReport, boolean shuttingDown) {}

    private final InstanceIdentity identity;
    private final InstanceListClient listClient;
    private final Map<String, Instance> listed = new LinkedHashMap<>();
    private final Map<InstanceId, ReceivedHeartbeat> heartbeats = new HashMap<>();

    InstanceDirectory(InstanceIdentity identity, InstanceListClient listClient) {
        this.identity = identity;
        this.listClient = listClient;
    }

    /**
     * Reads the list; if it is unreachable, the last one stays in use. {@code whenDone} runs in
     * both cases.
     */
    void refresh(Runnable whenDone) {
        listClient
                .instances()
                .subscribe()
                .with(
                        instances -> {
                            listed.clear();
                            instances.forEach(instance -> listed.put(instance.id(), instance));
                            whenDone.run();
                        },
                        failure -> whenDone.run());
    }

    Collection<Instance> workers() {
        return listed.values().stream()
                .filter(instance -> instance.role() == Instance.Role.WORKER)
                .toList();
    }

    Collection<Instance> otherEntries() {
        return listed.values().stream()
                .filter(instance -> instance.role() == Instance.Role.ENTRY)
                .filter(instance -> !instance.id().equals(identity.name()))
                .toList();
    }

    Optional<Endpoint> endpoint(WorkerId worker) {
        return Optional.ofNullable(listed.get(worker.value()))
                .map(instance -> new Endpoint(instance.host(), instance.port()));
    }

    void recordHeartbeat(
            InstanceId instance,
            ConfigurationFreshness.PeerReport peerReport,
            boolean shuttingDown) {
        heartbeats.put(instance, new ReceivedHeartbeat(peerReport, shuttingDown));
    }

    void removeOldHeartbeats(long nowMillis) {
        heartbeats
                .values()
                .removeIf(
                        heartbeat ->
                                nowMillis - heartbeat.peerReport().atMillis()
                                        > 10 * HEARTBEAT_TIMEOUT_MILLIS);
    }

    Collection<ConfigurationFreshness.PeerReport> peerReports() {
        return heartbeats.values().stream().map(ReceivedHeartbeat::peerReport).toList();
    }

    /** Returns the other data centres in which the list has entries. */
    Set<DataCentreId> otherDataCentres() {
        Set<DataCentreId> others = new HashSet<>();
        otherEntries().forEach(entry -> others.add(entry.dataCentre()));
        others.remove(identity.dataCentre());
        return others;
    }

    /** Returns the run ids of the live entries, including this one, that aren't shutting down. */
    List<String> liveEntryRuns(long nowMillis, boolean selfShuttingDown) {
        List<String> live = new ArrayList<>();
        heartbeats.forEach(
                (instance, heartbeat) -> {
                    boolean recent =
                            nowMillis - heartbeat.peerReport().atMillis()
                                    <= HEARTBEAT_TIMEOUT_MILLIS;
                    if (recent && !heartbeat.shuttingDown()) {
                        live.add(instance.value());
                    }
                });
        if (!selfShuttingDown) {
            live.add(identity.runId().value());
        }
        return live;
    }
}
