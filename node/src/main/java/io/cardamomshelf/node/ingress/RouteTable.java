package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.Configuration.Organisation;
import io.cardamomshelf.node.port.Configuration.Route;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the queue of a call and the organisation of its key.
 *
 * <p>Use: {@code RouteTable.of(configuration).route(host, path)}.
 *
 * <p>Immutable and thread-safe.
 */
final class RouteTable {

    private final Configuration configuration;

    private RouteTable(Configuration configuration) {
        this.configuration = configuration;
    }

    static RouteTable of(Configuration configuration) {
        return new RouteTable(configuration);
    }

    /** Finds the route of the host with the longest prefix that the path begins with. */
    Optional<Route> route(String host, String path) {
        return configuration.routes().stream()
                .filter(route -> route.host().equalsIgnoreCase(withoutPort(host)))
                .filter(route -> path.startsWith(route.prefix()))
                .max(Comparator.comparingInt(route -> route.prefix().length()));
    }

    /** Compares every key in full, so that the time taken tells nothing of a secret. */
    Optional<OrganisationId> organisation(String key) {
        byte[] presented = key.getBytes(StandardCharsets.UTF_8);
        OrganisationId found = null;
        for (Organisation organisation : configuration.organisations()) {
            for (String known : organisation.keys()) {
                if (MessageDigest.isEqual(presented, known.getBytes(StandardCharsets.UTF_8))) {
                    found = organisation.id();
                }
            }
        }
        return Optional.ofNullable(found);
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > 0 ? host.substring(0, colon) : host;
    }
}
