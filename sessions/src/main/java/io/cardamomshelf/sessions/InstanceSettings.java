package io.cardamomshelf.sessions;

import java.util.List;

/** The settings file of an instance on the users' platform. */
final class InstanceSettings {

    private static final String HOST = "127.0.0.1";

    private InstanceSettings() {}

    /** Returns the content of the file; all addresses are on loopback. */
    static String text(
            String name,
            String dataCentre,
            int callersPort,
            int readyPort,
            int metricsPort,
            int storePort) {
        return String.join(
                System.lineSeparator(),
                List.of(
                        "node_name=" + name,
                        "zone=" + dataCentre,
                        "ip=" + HOST,
                        "listen.frontend=" + HOST + ":" + callersPort,
                        "listen.ready_address=" + HOST + ":" + readyPort,
                        "internal_ports=" + metricsPort + ",0",
                        "bounds.revoke_ms=5000",
                        "bounds.visible_ms=3000",
                        "bounds.grace_s=6",
                        "bounds.max_hold_ms=10000",
                        "bounds.status_s=120",
                        "platform.address=" + HOST + ":" + storePort));
    }
}
