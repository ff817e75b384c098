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

/** Who is responsible, and whether a configuration is current enough to start tasks. */
class MembershipTest {

    @Nested
    class Ownership {

        @Test
        void movesOnlyFromTheMemberThatLeft() {
            List<String> before = List.of("a", "b", "c", "d", "e", "f", "g");
            List<String> after = new ArrayList<>(before);
            after.remove("d");
            int moved = 0;
            for (int key = 0; key < 7_000; key++) {
                String owner = Rendezvous.owner("job-" + key, before).orElseThrow();
                String next = Rendezvous.owner("job-" + key, after).orElseThrow();
                moved += owner.equals(next) ? 0 : 1;
                assertTrue(owner.equals(next) || owner.equals("d"));
            }
            assertTrue(moved > 800 && moved < 1_200, "moved " + moved + " of 7,000");
        }
    }

    @Nested
    class Evidence {

        private static final DataCentreId OTHER = DataCentreId.of("pta-b");
        private final ConfigurationFreshness rule = new ConfigurationFreshness(2_000);

        private boolean fresh(long tailRead, List<ConfigurationFreshness.PeerReport> sights) {
            return rule.isFresh(10_000, tailRead, 7, sights, Set.of(OTHER));
        }

        private ConfigurationFreshness.PeerReport sight(
                long at, boolean logReachable, long offset) {
            return new ConfigurationFreshness.PeerReport(OTHER, at, logReachable, offset);
        }

        @Test
        void ofARecentReadAtTheTailIsEnough() {
            assertTrue(fresh(8_000, List.of()));
            assertFalse(fresh(7_999, List.of()));
        }

        @Test
        void ofPeersCountsOnlyIfTheLogIsAwayForThemToo() {
            assertTrue(fresh(0, List.of(sight(9_000, false, 7))));
            assertFalse(fresh(0, List.of(sight(9_000, true, 7))));
            assertFalse(fresh(0, List.of(sight(9_000, false, 7), sight(9_000, true, 7))));
        }

        @Test
        void ofPeersMustBeRecentAndNoNewer() {
            assertFalse(fresh(0, List.of(sight(7_000, false, 7))));
            assertFalse(fresh(0, List.of(sight(9_000, false, 8))));
        }

        @Test
        void isMissingWhenCutOffFromAll() {
            assertFalse(fresh(0, List.of()));
            assertFalse(rule.isFresh(10_000, 0, 7, List.of(), Set.of()));
        }
    }

    @Test
    void instanceNamesWhatIsWrong() {
        IllegalArgumentException refusal =
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
        assertEquals("port: 0 is out of range; allowed are 1 to 65535", refusal.getMessage());
    }
}
