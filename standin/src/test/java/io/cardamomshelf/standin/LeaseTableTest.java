package io.cardamomshelf.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.job.JobSpec;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.LeaseState;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the stand-in worker's leases with times that the test sets. */
class LeaseTableTest {

    private static final JobId JOB = JobId.of("j-1");
    private static final long TTL_MILLIS = 100_000;
    private static final String RUN_1_S = "{\"runMillis\":1000}";

    private final LeaseTable table = new LeaseTable(8);

    @BeforeEach
    void startJob() {
        Slice slice = new Slice(WorkerId.of("w1"), 0xff);
        Demand demand = new Demand(8, Adjacency.WORKER, 1, 1);
        JobSpec spec = new JobSpec(OrganisationId.of("a"), demand, false, 1_000, RUN_1_S);
        Placement placement = new Placement(DataCentreId.of("jhb-a"), List.of(slice));
        GangNote annotation = new GangNote(JOB, spec, placement, List.of());
        WorkerCommand.Hold hold = new WorkerCommand.Hold(JOB, 5, 0xff, TTL_MILLIS, annotation, "");
        assertEquals(Optional.empty(), table.hold(hold, 0));
        assertEquals(Optional.empty(), table.commit(step(5), 0));
        assertEquals(Optional.empty(), table.start(step(5), TaskScript.parse(RUN_1_S), 0));
    }

    private static WorkerCommand.Step step(long token) {
        return new WorkerCommand.Step(JOB, token, TTL_MILLIS);
    }

    private Optional<String> throttle(long token, int percent, long ttlMillis, long nowMillis) {
        return table.throttle(
                new WorkerCommand.Throttle(JOB, token, percent, ttlMillis), nowMillis);
    }

    private LeaseState state(long nowMillis) {
        return table.leases(nowMillis).get(0).state();
    }

    @Nested
    class Throttled {

        @Test
        void aTaskEndsLaterByTheRunTimeItLost() {
            assertEquals(Optional.empty(), throttle(5, 50, 400, 500));
            assertEquals(LeaseState.RUNNING, state(1_199));
            assertEquals(LeaseState.DONE, state(1_200));
        }

        @Test
        void aPausedTaskResumesWhenThePauseExpires() {
            throttle(5, 0, 5_000, 500);
            assertEquals(LeaseState.RUNNING, state(5_999));
            assertEquals(LeaseState.DONE, state(6_000));
        }

        @Test
        void aSecondThrottleReplacesTheFirst() {
            throttle(5, 0, 5_000, 500);
            throttle(5, 100, 0, 600);
            assertEquals(LeaseState.DONE, state(1_100));
        }

        @Test
        void aPausedTaskLosesNoRunTimeBetweenCheckpointAndStop() {
            throttle(5, 0, 5_000, 500);
            assertEquals(Optional.of("500"), table.checkpoint(step(5), 700));
            table.stop(step(5), 900);
            assertEquals(0, table.discardedMillis());
        }

        @Test
        void anOldTokenIsRefused() {
            assertTrue(throttle(4, 0, 5_000, 500).isPresent());
            assertEquals(LeaseState.DONE, state(1_000));
        }
    }

    @Nested
    class Fenced {

        @Test
        void aLowerTokenIsRefusedForStopRenewAndCheckpoint() {
            assertTrue(table.stop(step(4), 100).isPresent());
            assertEquals(Optional.empty(), table.checkpoint(step(4), 100));
            table.renew(new WorkerCommand.Renewal(JOB, 4), 10 * TTL_MILLIS, 100);
            assertTrue(table.leases(200).get(0).remainingMillis() <= TTL_MILLIS);
        }

        @Test
        void aHigherTokenInvalidatesTheLowerOne() {
            table.renew(new WorkerCommand.Renewal(JOB, 6), TTL_MILLIS, 100);
            assertTrue(table.stop(step(5), 200).isPresent());
            assertEquals(Optional.empty(), table.stop(step(6), 300));
        }

        @Test
        void aStoppedJobIsNotStartedUnderAnOlderToken() {
            assertEquals(Optional.empty(), table.stop(step(6), 100));
            assertTrue(table.start(step(5), TaskScript.parse(RUN_1_S), 200).isPresent());
            assertEquals(List.of(), table.leases(200));
        }
    }
}
