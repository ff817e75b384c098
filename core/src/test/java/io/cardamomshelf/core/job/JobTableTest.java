package io.cardamomshelf.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.Fixtures;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.event.HybridTime;
import io.cardamomshelf.core.lease.FencingTokens;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks the state of jobs folded from the log: owners, takeovers and ends. */
class JobTableTest {

    private static final JobId JOB = Fixtures.job(1);
    private static final InstanceId FIRST = InstanceId.of("entry-1");
    private static final InstanceId SECOND = InstanceId.of("entry-2");
    private static final InstanceId THIRD = InstanceId.of("entry-3");

    private final JobTable table = new JobTable();

    private void accept() {
        JobSpec spec = Fixtures.spec(OrganisationId.of("a"), 16);
        table.fold(5, new JobRecord.Accepted(JOB, spec, FIRST));
    }

    @Nested
    class Takeover {

        @Test
        void firstClaimBasedOnTheSameRecordWins() {
            accept();
            table.fold(6, new JobRecord.Claimed(JOB, 5, SECOND));
            table.fold(7, new JobRecord.Claimed(JOB, 5, THIRD));
            assertEquals(SECOND, table.job(JOB).orElseThrow().owner());
            assertEquals(6, table.job(JOB).orElseThrow().ownerOffset());
        }

        @Test
        void raisesTheTokenAboveAllAttemptsOfThePreviousOwner() {
            assertTrue(FencingTokens.of(6, 0) > FencingTokens.of(5, 1_048_575));
        }
    }

    @Nested
    class CancellationBeforeTheAcceptance {

        /** Guards against a job that runs though its caller was told that there is none. */
        @Test
        void holdsForTheJobThatIsAcceptedLater() {
            table.fold(4, new JobRecord.Cancelled(JOB));
            accept();
            assertTrue(table.job(JOB).orElseThrow().cancelled());
        }

        /** Guards against cancellations of jobs that never come, which fill the table. */
        @Test
        void isReplacedByManyLaterOnes() {
            table.fold(1, new JobRecord.Cancelled(JOB));
            for (int i = 0; i < JobTable.MAX_CANCELLED_EARLY; i++) {
                table.fold(2 + i, new JobRecord.Cancelled(Fixtures.job(2 + i)));
            }
            JobSpec spec = Fixtures.spec(OrganisationId.of("a"), 16);
            table.fold(20_000, new JobRecord.Accepted(JOB, spec, FIRST));
            assertFalse(table.job(JOB).orElseThrow().cancelled());
        }
    }

    @Nested
    class End {

        @Test
        void isKeptAndLaterRecordsAreIgnored() {
            accept();
            table.fold(6, new JobRecord.Ended(JOB, JobRecord.Result.SUCCEEDED, ""));
            table.fold(7, new JobRecord.Claimed(JOB, 5, SECOND));
            table.fold(8, new JobRecord.Cancelled(JOB));
            assertEquals(
                    JobRecord.Result.SUCCEEDED,
                    table.job(JOB).orElseThrow().end().orElseThrow().result());
            assertTrue(table.open().isEmpty());
        }

        @Test
        void isNotUndoneByARepeatedAcceptance() {
            accept();
            table.fold(6, new JobRecord.Ended(JOB, JobRecord.Result.SUCCEEDED, ""));
            table.fold(7, new JobRecord.Accepted(JOB, table.job(JOB).get().spec(), SECOND));
            assertTrue(table.open().isEmpty());
        }
    }

    @Test
    void effectSortsAfterItsCauseWhenClocksDiffer() {
        HybridTime sender = new HybridTime(0, 0).nextLocal(90_000);
        HybridTime receiver = new HybridTime(0, 0).nextLocal(60_000).nextAfter(sender, 60_001);
        assertTrue(receiver.compareTo(sender) > 0);
        assertTrue(receiver.nextLocal(60_002).compareTo(receiver) > 0);
    }
}
