package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.node.settings.NodeSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the bounds that the length of a lease has to keep. */
class SchedulerSettingsTest {

    /** The leader timeout with its jitter, and the validity of a predecessor's last proof. */
    private static final long ELECTION_AND_PROOF_MILLIS = 1_500 + 300 + 2_000;

    /**
     * From the loss of a scheduler to the latest time at which a job may still stand still, if its
     * workers were lost just before: 6.6 s to the end of the day's work and 3 s more.
     */
    private static final long LATEST_START_MILLIS = 9_600;

    /** From a power loss of all instances to the first renewal, and since the last one. */
    private static final long RESTART_MILLIS = 3_100 + 1_000;

    private final long leaseMillis =
            SchedulerSettings.of(new NodeSettings.Bounds(5_000, 3_000, 6_000, 10_000, 120_000, 0))
                    .leaseMillis();

    @Nested
    class Leases {

        /**
         * Guards against tasks of lost workers that wait for their leases for so long, after the
         * scheduler was lost too, that their jobs count as lost.
         */
        @Test
        void areShortEnoughForTasksOfLostWorkersAfterALossOfTheScheduler() {
            long startMillis = ELECTION_AND_PROOF_MILLIS + LeaseClock.worstCaseMillis(leaseMillis);
            assertTrue(startMillis < LATEST_START_MILLIS, "starts after " + startMillis + " ms");
        }

        /** Guards against leases that expire while all instances restart after a power loss. */
        @Test
        void areLongEnoughForARestartOfAllInstances() {
            assertTrue(leaseMillis > RESTART_MILLIS, leaseMillis + " ms");
        }
    }
}
