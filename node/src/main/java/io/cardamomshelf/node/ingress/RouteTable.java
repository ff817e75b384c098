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
 * Looks up the queue that a call is for and the organisation that a key belongs to.
 *
 * <p>Use: {@code RouteTable.of(configuration).findRoute(host, path)}.
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

    /** Finds the route of the host with the longest prefix of the path. */
    Optional<Route> findRoute(String host, String path) {
        return configuration.routes().stream()
                .filter(route -> route.host().equalsIgnoreCase(withoutPort(host)))
                .filter(route -> path.startsWith(route.prefix()))
                .max(Comparator.comparingInt(route -> route.prefix().length()));
    }

    /** Finds a key's owner; compares with every key in full, to leak no timing information. */
    Optional<OrganisationId> findOrganisation(String key) {
        byte[] presentedBytes = key.getBytes(StandardCharsets.UTF_8);
        OrganisationId found = null;
        for (Organisation organisation : configuration.organisations()) {
            for (String acceptedKey : organisation.keys()) {
                if (MessageDigest.isEqual(
                        presentedBytes, acceptedKey.getBytes(StandardCharsets.UTF_8))) {
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
