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

/** The stand-in worker's leases, on a clock of the test's own. */
class LeaseTableTest {

    private static final JobId JOB = JobId.of("j-1");
    private static final long TTL_MILLIS = 100_000;
    private static final String RUN_1_S = "{\"runMillis\":1000}";

    private final LeaseTable book = new LeaseTable(8);

    @BeforeEach
    void run() {
        Slice slice = new Slice(WorkerId.of("w1"), 0xff);
        Demand demand = new Demand(8, Adjacency.WORKER, 1, 1);
        JobSpec spec = new JobSpec(OrganisationId.of("a"), demand, false, 1_000, RUN_1_S);
        Placement placement = new Placement(DataCentreId.of("jhb-a"), List.of(slice));
        GangNote note = new GangNote(JOB, spec, placement, List.of());
        WorkerCommand.Hold hold = new WorkerCommand.Hold(JOB, 5, 0xff, TTL_MILLIS, note, "");
        assertEquals(Optional.empty(), book.hold(hold, 0));
        assertEquals(Optional.empty(), book.commit(step(5), 0));
        assertEquals(Optional.empty(), book.start(step(5), TaskScript.parse(RUN_1_S), 0));
    }

    private static WorkerCommand.Step step(long token) {
        return new WorkerCommand.Step(JOB, token, TTL_MILLIS);
    }

    private Optional<String> throttle(long token, int percent, long ttlMillis, long nowMillis) {
        return book.throttle(new WorkerCommand.Throttle(JOB, token, percent, ttlMillis), nowMillis);
    }

    private LeaseState state(long nowMillis) {
        return book.leases(nowMillis).get(0).state();
    }

    @Nested
    class Throttled {

        @Test
        void aTaskEndsLaterByWhatItLost() {
            assertEquals(Optional.empty(), throttle(5, 50, 400, 500));
            assertEquals(LeaseState.RUNNING, state(1_199));
            assertEquals(LeaseState.DONE, state(1_200));
        }

        @Test
        void aPausedTaskGoesOnByItselfWhenTheTimeIsOver() {
            throttle(5, 0, 5_000, 500);
            assertEquals(LeaseState.RUNNING, state(5_999));
            assertEquals(LeaseState.DONE, state(6_000));
        }

        @Test
        void aSecondThrottleTakesThePlaceOfTheFirst() {
            throttle(5, 0, 5_000, 500);
            throttle(5, 100, 0, 600);
            assertEquals(LeaseState.DONE, state(1_100));
        }

        @Test
        void nothingRunsBetweenTheCheckpointAndTheStop() {
            throttle(5, 0, 5_000, 500);
            assertEquals(Optional.of("500"), book.checkpoint(step(5), 700));
            book.stop(step(5), 900);
            assertEquals(0, book.discardedMillis());
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
        void aLowerTokenNeitherStopsNorRenewsNorCheckpoints() {
            assertTrue(book.stop(step(4), 100).isPresent());
            assertEquals(Optional.empty(), book.checkpoint(step(4), 100));
            book.renew(new WorkerCommand.Renewal(JOB, 4), 10 * TTL_MILLIS, 100);
            assertTrue(book.leases(200).get(0).remainingMillis() <= TTL_MILLIS);
        }

        @Test
        void aHigherTokenTakesTheLeaseOverForGood() {
            book.renew(new WorkerCommand.Renewal(JOB, 6), TTL_MILLIS, 100);
            assertTrue(book.stop(step(5), 200).isPresent());
            assertEquals(Optional.empty(), book.stop(step(6), 300));
        }

        @Test
        void aStoppedJobIsNotHeldUnderAnOlderToken() {
            assertEquals(Optional.empty(), book.stop(step(6), 100));
            assertTrue(book.start(step(5), TaskScript.parse(RUN_1_S), 200).isPresent());
            assertEquals(List.of(), book.leases(200));
        }
    }
}
