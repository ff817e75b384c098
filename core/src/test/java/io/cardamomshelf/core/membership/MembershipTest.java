package io.cardamomshelf.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the choice of the responsible member and whether a configuration is current enough to start
 * tasks.
 */
class MembershipTest {

    @Nested
    class Ownership {

        @Test
        void movesOnlyFromTheRemovedMember() {
            List<String> before = List.of("a", "b", "c", "d", "e", "f", "g");
            List<String> after = new ArrayList<>(before);
            after.remove("d");
            int moved = 0;
            for (int key = 0; key < 7_000; key++) {
                String owner = Rendezvous.owner("job-" + key, before).orElseThrow();
                String newOwner = Rendezvous.owner("job-" + key, after).orElseThrow();
                moved += owner.equals(newOwner) ? 0 : 1;
                assertTrue(owner.equals(newOwner) || owner.equals("d"));
            }
            assertTrue(moved > 800 && moved < 1_200, "moved " + moved + " of 7,000");
        }
    }

    @Nested
    class FreshnessEvidence {

        private static final DataCentreId OTHER_DATA_CENTRE = DataCentreId.of("pta-b");
        private final ConfigurationFreshness freshness = new ConfigurationFreshness(2_000);

        private boolean isFresh(
                long tailReadMillis, List<ConfigurationFreshness.PeerReport> peerReports) {
            return freshness.isFresh(
                    10_000, tailReadMillis, 7, peerReports, Set.of(OTHER_DATA_CENTRE));
        }

        private ConfigurationFreshness.PeerReport peerReport(
                long atMillis, boolean logReachable, long configOffset) {
            return new ConfigurationFreshness.PeerReport(
                    OTHER_DATA_CENTRE, atMillis, logReachable, configOffset);
        }

        @Test
        void isGivenByARecentReadOfTheLogTail() {
            assertTrue(isFresh(8_000, List.of()));
            assertFalse(isFresh(7_999, List.of()));
        }

        @Test
        void isGivenByPeersOnlyIfNoneOfThemReachesTheLog() {
            assertTrue(isFresh(0, List.of(peerReport(9_000, false, 7))));
            assertFalse(isFresh(0, List.of(peerReport(9_000, true, 7))));
            assertFalse(
                    isFresh(0, List.of(peerReport(9_000, false, 7), peerReport(9_000, true, 7))));
        }

        @Test
        void isNotGivenByOldReportsOrNewerConfigurations() {
            assertFalse(isFresh(0, List.of(peerReport(7_000, false, 7))));
            assertFalse(isFresh(0, List.of(peerReport(9_000, false, 8))));
        }

        @Test
        void isNotGivenWithoutAnyPeer() {
            assertFalse(isFresh(0, List.of()));
            assertFalse(freshness.isFresh(10_000, 0, 7, List.of(), Set.of()));
        }
    }

    @Test
    void instanceWithAnInvalidPortIsRejectedWithTheAllowedRange() {
        IllegalArgumentException exception =
                org.junit.jupiter.api.Assertions.assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                new Instance(
                                        "w",
                                        Instance.Role.WORKER,
                                        DataCentreId.of("a"),
                                        "r",
                                        "127.0.0.1",
                                        0,
                                        0,
                                        false));
        assertEquals("port: 0 is out of range; allowed are 1 to 65535", exception.getMessage());
    }
}
