package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunHosts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which workers a job may start on, and for which unreported workers it has to wait. */
class HostIntentsTest {

    private static final WorkerId ONE = WorkerId.of("w1");
    private static final WorkerId TWO = WorkerId.of("w2");

    private static HostIntents newIntents() {
        return new HostIntents(Optional.empty(), false);
    }

    private static HostIntents inherited(RunHosts hosts, WorkerId... unreported) {
        HostIntents intents = new HostIntents(Optional.of(hosts), true);
        intents.inheritFrom(Set.of(unreported));
        return intents;
    }

    @Nested
    class HostUse {

        @Test
        void isAllowedOnceTheIntentIsStored() {
            HostIntents intents = newIntents();
            assertTrue(intents.want(List.of(ONE), 0));
            intents.send(List.of());
            assertFalse(intents.covers(List.of(ONE)));
            intents.stored();
            assertTrue(intents.covers(List.of(ONE)));
            assertFalse(intents.covers(List.of(ONE, TWO)));
        }

        @Test
        void requestsARecordOnce() {
            HostIntents intents = newIntents();
            intents.want(List.of(ONE), 0);
            intents.send(List.of());
            assertFalse(intents.want(List.of(ONE), 0));
            assertTrue(intents.want(List.of(TWO), 0));
        }

        @Test
        void endsWhenARecordWithoutTheWorkerIsSent() {
            HostIntents intents = newIntents();
            intents.want(List.of(ONE), 0);
            intents.send(List.of());
            intents.stored();
            intents.used(List.of(TWO));
            intents.send(List.of());
            assertFalse(intents.covers(List.of(ONE)));
        }

        @Test
        void requiresTheWorkerInEveryRecordThatMayBecomeTheNewest() {
            HostIntents intents = newIntents();
            intents.want(List.of(ONE), 0);
            intents.send(List.of());
            intents.stored();
            intents.used(List.of(TWO));
            intents.send(List.of());
            intents.want(List.of(ONE), 0);
            intents.send(List.of());
            intents.stored();
            assertFalse(intents.covers(List.of(ONE)));
            intents.stored();
            assertTrue(intents.covers(List.of(ONE)));
        }

        @Test
        void staysAllowedWhileTheWorkerHasRuns() {
            HostIntents intents = newIntents();
            intents.want(List.of(ONE), 0);
            intents.send(List.of());
            intents.stored();
            intents.used(List.of(TWO));
            assertEquals(RunHosts.of(List.of(ONE, TWO)), intents.send(List.of(ONE)));
            assertTrue(intents.covers(List.of(ONE)));
        }

        @Test
        void isAllowedAnywhereOnceAnUnrestrictedIntentIsStored() {
            HostIntents intents = newIntents();
            assertTrue(intents.wantAnywhere());
            intents.send(List.of());
            assertFalse(intents.covers(List.of(ONE)));
            intents.stored();
            assertTrue(intents.covers(List.of(ONE)));
            assertEquals(RunHosts.ANYWHERE, intents.send(List.of(ONE)));
        }

        @Test
        void isUnrestrictedWhenTooManyWorkersAreRequested() {
            HostIntents intents = newIntents();
            List<WorkerId> workers = new ArrayList<>();
            for (int i = 0; i < 33; i++) {
                workers.add(WorkerId.of("w" + i));
            }
            intents.want(workers, 0);
            assertEquals(RunHosts.ANYWHERE, intents.send(List.of()));
        }
    }

    @Nested
    class Doubt {

        @Test
        void lastsUntilTheRecordedHostsAreAccountedFor() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(intents.isInDoubt(false));
            intents.accountedFor(ONE);
            assertFalse(intents.isInDoubt(false));
        }

        @Test
        void isAbsentIfOnlyOtherWorkersAreUnreported() {
            assertFalse(inherited(RunHosts.of(List.of(ONE)), TWO).isInDoubt(false));
        }

        @Test
        void lastsUntilAllWorkersReportIfHostsAreUnrestricted() {
            HostIntents intents = inherited(RunHosts.ANYWHERE, ONE);
            intents.accountedFor(ONE);
            assertTrue(intents.isInDoubt(false));
            assertFalse(intents.isInDoubt(true));
        }

        @Test
        void isNotCausedByIntentsOfThisScheduler() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE)), TWO);
            intents.wantAnywhere();
            assertFalse(intents.isInDoubt(false));
        }

        @Test
        void isAbsentIfNoIntentIsStored() {
            assertFalse(new HostIntents(Optional.empty(), true).isInDoubt(false));
        }

        @Test
        void isKeptInTheNextRecord() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(intents.send(List.of()).covers(List.of(ONE)));
        }
    }
}
