package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.node.port.Configuration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which queue and which organisation a call is assigned to. */
class RouteTableTest {

    private final RouteTable table =
            RouteTable.of(
                    new Configuration(
                            1,
                            List.of(
                                    route("short", "a.example", "/jobs/"),
                                    route("long", "a.example", "/jobs/night/"),
                                    route("other", "b.example", "/jobs/")),
                            List.of(
                                    organisation("one", "key-1", "key-2"),
                                    organisation("two", "key-3")),
                            new Configuration.Limits(1_000)));

    private static Configuration.Route route(String name, String host, String prefix) {
        QueuePolicy policy = new QueuePolicy(name, "s", 1, 1, 1, 1, false);
        return new Configuration.Route(host, prefix, false, 1_000, policy);
    }

    private static Configuration.Organisation organisation(String name, String... keys) {
        return new Configuration.Organisation(
                OrganisationId.of(name), List.of(keys), 0, 0, Resources.NONE);
    }

    private Optional<String> queue(String host, String path) {
        return table.findRoute(host, path).map(route -> route.policy().name());
    }

    @Nested
    class Routes {

        @Test
        void areFoundByTheLongestPrefix() {
            assertEquals(Optional.of("long"), queue("a.example", "/jobs/night/00"));
            assertEquals(Optional.of("short"), queue("a.example", "/jobs/nigh"));
        }

        @Test
        void areFoundByTheHostWithoutItsPort() {
            assertEquals(Optional.of("other"), queue("B.example:8080", "/jobs/00"));
            assertEquals(Optional.empty(), queue("c.example", "/jobs/00"));
            assertEquals(Optional.empty(), queue("", "/jobs/00"));
        }
    }

    @Nested
    class Keys {

        @Test
        void identifyTheirOrganisation() {
            assertEquals(Optional.of(OrganisationId.of("one")), table.findOrganisation("key-2"));
            assertEquals(Optional.of(OrganisationId.of("two")), table.findOrganisation("key-3"));
        }

        @Test
        void thatAreUnknownOrTruncatedIdentifyNone() {
            assertEquals(Optional.empty(), table.findOrganisation("key-"));
            assertEquals(Optional.empty(), table.findOrganisation(""));
        }
    }
}
