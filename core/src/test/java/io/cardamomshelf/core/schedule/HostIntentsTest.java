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
        intents.retainUnreported(Set.of(unreported));
        return intents;
    }

    @Nested
    class HostUse {

        @Test
        void isAllowedOnceTheIntentIsStored() {
            HostIntents intents = newIntents();
            assertTrue(intents.add(List.of(ONE)));
            intents.nextRecord(List.of());
            assertFalse(intents.covers(List.of(ONE)));
            intents.confirmOldestRecord();
            assertTrue(intents.covers(List.of(ONE)));
            assertFalse(intents.covers(List.of(ONE, TWO)));
        }

        @Test
        void requestsARecordOnce() {
            HostIntents intents = newIntents();
            intents.add(List.of(ONE));
            intents.nextRecord(List.of());
            assertFalse(intents.add(List.of(ONE)));
            assertTrue(intents.add(List.of(TWO)));
        }

        @Test
        void endsWhenARecordWithoutTheWorkerIsSent() {
            HostIntents intents = newIntents();
            intents.add(List.of(ONE));
            intents.nextRecord(List.of());
            intents.confirmOldestRecord();
            intents.markStarted(List.of(TWO));
            intents.nextRecord(List.of());
            assertFalse(intents.covers(List.of(ONE)));
        }

        @Test
        void requiresTheWorkerInEveryRecordThatMayBecomeTheNewest() {
            HostIntents intents = newIntents();
            intents.add(List.of(ONE));
            intents.nextRecord(List.of());
            intents.confirmOldestRecord();
            intents.markStarted(List.of(TWO));
            intents.nextRecord(List.of());
            intents.add(List.of(ONE));
            intents.nextRecord(List.of());
            intents.confirmOldestRecord();
            assertFalse(intents.covers(List.of(ONE)));
            intents.confirmOldestRecord();
            assertTrue(intents.covers(List.of(ONE)));
        }

        @Test
        void staysAllowedWhileTheWorkerHasRuns() {
            HostIntents intents = newIntents();
            intents.add(List.of(ONE));
            intents.nextRecord(List.of());
            intents.confirmOldestRecord();
            intents.markStarted(List.of(TWO));
            assertEquals(RunHosts.of(List.of(ONE, TWO)), intents.nextRecord(List.of(ONE)));
            assertTrue(intents.covers(List.of(ONE)));
        }

        @Test
        void isAllowedAnywhereOnceAnUnrestrictedIntentIsStored() {
            HostIntents intents = newIntents();
            assertTrue(intents.addAnyWorker());
            intents.nextRecord(List.of());
            assertFalse(intents.covers(List.of(ONE)));
            intents.confirmOldestRecord();
            assertTrue(intents.covers(List.of(ONE)));
            assertEquals(RunHosts.ANYWHERE, intents.nextRecord(List.of(ONE)));
        }

        @Test
        void isUnrestrictedWhenTooManyWorkersAreRequested() {
            HostIntents intents = newIntents();
            List<WorkerId> workers = new ArrayList<>();
            for (int i = 0; i < 33; i++) {
                workers.add(WorkerId.of("w" + i));
            }
            intents.add(workers);
            assertEquals(RunHosts.ANYWHERE, intents.nextRecord(List.of()));
        }
    }

    @Nested
    class UnreportedRuns {

        @Test
        void arePossibleUntilTheRecordedHostsHaveReported() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(intents.mayHaveUnreportedRuns(false));
            intents.markReported(ONE);
            assertFalse(intents.mayHaveUnreportedRuns(false));
        }

        @Test
        void areImpossibleIfOnlyOtherWorkersAreUnreported() {
            assertFalse(inherited(RunHosts.of(List.of(ONE)), TWO).mayHaveUnreportedRuns(false));
        }

        @Test
        void arePossibleUntilAllWorkersReportIfHostsAreUnrestricted() {
            HostIntents intents = inherited(RunHosts.ANYWHERE, ONE);
            intents.markReported(ONE);
            assertTrue(intents.mayHaveUnreportedRuns(false));
            assertFalse(intents.mayHaveUnreportedRuns(true));
        }

        @Test
        void areImpossibleIfOnlyThisSchedulerAllowedAnyWorker() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE)), TWO);
            intents.addAnyWorker();
            assertFalse(intents.mayHaveUnreportedRuns(false));
        }

        @Test
        void areImpossibleIfNoIntentIsStored() {
            assertFalse(new HostIntents(Optional.empty(), true).mayHaveUnreportedRuns(false));
        }

        @Test
        void keepTheirHostsInTheNextRecord() {
            HostIntents intents = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(intents.nextRecord(List.of()).containsAll(List.of(ONE)));
        }
    }
}
