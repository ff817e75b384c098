package io.cardamomshelf.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.Fixtures;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks the quarantine of workers whose tasks fail, and its limits if jobs fail everywhere. */
class WorkerHealthTest {

    private static final int WORKERS = 10;
    private static final long MINUTE_MILLIS = 60_000;
    private static final WorkerId FAILING_WORKER = Fixtures.worker(0, 0).id();

    private final WorkerHealth health = new WorkerHealth();

    private void report(WorkerId worker, int job, long token, LeaseState state, long nowMillis) {
        Placement placement = new Placement(Fixtures.DATA_CENTRE, List.of(new Slice(worker, 1)));
        GangNote note =
                new GangNote(
                        Fixtures.job(job),
                        Fixtures.spec(OrganisationId.of("a"), 1),
                        placement,
                        List.of());
        Lease lease = new Lease(Fixtures.job(job), token, 1, state, 1_000, note);
        health.update(worker, List.of(lease), WORKERS, nowMillis);
    }

    @Nested
    class Workers {

        @Test
        void areQuarantinedForAMinuteAfterTwoFailuresInARow() {
            report(FAILING_WORKER, 1, 1, LeaseState.FAILED, 0);
            assertFalse(health.isQuarantined(FAILING_WORKER, 0));
            report(FAILING_WORKER, 2, 2, LeaseState.FAILED, 0);
            assertTrue(health.isQuarantined(FAILING_WORKER, MINUTE_MILLIS - 1));
            assertEquals(List.of(FAILING_WORKER), health.quarantined());
            assertFalse(health.isQuarantined(FAILING_WORKER, MINUTE_MILLIS));
        }

        @Test
        void areQuarantinedTwiceAsLongAfterAFailedProbeAndClearedByASuccess() {
            report(FAILING_WORKER, 1, 1, LeaseState.FAILED, 0);
            report(FAILING_WORKER, 2, 2, LeaseState.FAILED, 0);
            report(FAILING_WORKER, 3, 3, LeaseState.FAILED, MINUTE_MILLIS);
            assertTrue(health.isQuarantined(FAILING_WORKER, 3 * MINUTE_MILLIS - 1));
            report(FAILING_WORKER, 4, 4, LeaseState.DONE, 3 * MINUTE_MILLIS);
            report(FAILING_WORKER, 5, 5, LeaseState.FAILED, 3 * MINUTE_MILLIS);
            assertFalse(health.isQuarantined(FAILING_WORKER, 3 * MINUTE_MILLIS));
        }

        @Test
        void areNotQuarantinedForOneFailureReportedTwice() {
            report(FAILING_WORKER, 1, 1, LeaseState.FAILED, 0);
            report(FAILING_WORKER, 1, 1, LeaseState.FAILED, 250);
            assertFalse(health.isQuarantined(FAILING_WORKER, 250));
            report(FAILING_WORKER, 1, 2, LeaseState.FAILED, 500);
            assertTrue(health.isQuarantined(FAILING_WORKER, 500));
        }
    }

    @Nested
    class Jobs {

        @Test
        void oneThatFailsEverywhereQuarantinesOnlyItsFirstWorker() {
            for (int index = 0; index < WORKERS; index++) {
                WorkerId worker = Fixtures.worker(0, index).id();
                report(worker, 1, 2 * index + 1, LeaseState.FAILED, 0);
                report(worker, 1, 2 * index + 2, LeaseState.FAILED, 0);
            }
            assertEquals(List.of(FAILING_WORKER), health.quarantined());
        }

        @Test
        void manyThatFailEverywhereQuarantineAFifthOfTheWorkers() {
            for (int index = 0; index < WORKERS; index++) {
                WorkerId worker = Fixtures.worker(0, index).id();
                report(worker, 2 * index, 1, LeaseState.FAILED, 0);
                report(worker, 2 * index + 1, 1, LeaseState.FAILED, 0);
            }
            assertEquals(WORKERS / 5, health.quarantined().size());
        }
    }
}
