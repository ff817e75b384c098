package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.WorkerId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests calls that were meant for one incarnation of a worker and reach the next one. Their lease
 * ends are far ahead of its clock, so it takes the longest lease that workers grant.
 */
class LeaseOfEarlierIncarnationTest extends SchedulingFixture {

    private static final WorkerId WORKER = WorkerId.of("w1");

    /** How long the first incarnation is up: longer than any lease. */
    private static final long UPTIME_MILLIS = 30_000;

    /** More than the longest delay of a call and the longest lease. */
    private static final long MAX_WAIT_MILLIS = 30_000;

    private void cutWorkerOff() {
        workers.disconnected.add(WORKER);
        register("w2");
    }

    private void awaitRunning() {
        advanceUntil(() -> workers.isRunning(TASK));
    }

    private void assertRunsElsewhereOnceTheLeaseHasLapsed() {
        time.advance(MAX_WAIT_MILLIS);
        assertEquals(List.of(), workers.overlaps);
        assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
    }

    /** Guards against two runs at once after a restart, a change of scheduler and a partition. */
    @Nested
    class AfterAChangeOfScheduler {

        private Process leader;

        private void leadWithASuccessorReady() {
            storeConfigurationAndWorkers("w1");
            reportWorkerClocks();
            leader = new Process("one");
            awaitLeading(leader);
            time.advance(UPTIME_MILLIS);
            new Process("two");
            time.advance(1_000);
        }

        @Test
        void isRespectedIfThePredecessorKnewOfTheRestart() {
            leadWithASuccessorReady();
            workers.restart("w1");
            submit(1, false);
            awaitRunning();
            time.advance(300);
            register("w1");
            time.advance(1_200);
            leader.candidate.resign().subscribe().with(done -> {});
            cutWorkerOff();
            assertRunsElsewhereOnceTheLeaseHasLapsed();
        }

        @Test
        void isRespectedIfThePredecessorNeverHeardOfTheRestart() {
            leadWithASuccessorReady();
            workers.restart("w1");
            workers.losingAnswers.add(WORKER);
            submit(1, false);
            awaitRunning();
            register("w1");
            leader.candidate.resign().subscribe().with(done -> {});
            cutWorkerOff();
            assertRunsElsewhereOnceTheLeaseHasLapsed();
        }

        /** The successor only sees that the stored incarnation isn't the registered one. */
        @Test
        void isRespectedIfTheSuccessorBeganAfterTheRestart() {
            storeConfigurationAndWorkers("w1");
            leader = new Process("one");
            awaitLeading(leader);
            time.advance(UPTIME_MILLIS);
            workers.restart("w1");
            workers.losingAnswers.add(WORKER);
            submit(1, false);
            awaitRunning();
            leader.candidate.resign().subscribe().with(done -> {});
            cutWorkerOff();
            time.advance(100);
            register("w1");
            new Process("two");
            assertRunsElsewhereOnceTheLeaseHasLapsed();
        }

        @Test
        void isRespectedIfAStartIsCarriedOutAfterTheChange() {
            leadWithASuccessorReady();
            workers.lateMillis.put(WORKER, 6_000L);
            submit(1, false);
            time.advance(100);
            workers.restart("w1");
            workers.lateMillis.clear();
            register("w1");
            leader.candidate.resign().subscribe().with(done -> {});
            time.advance(1_000);
            cutWorkerOff();
            awaitRunning();
            assertRunsElsewhereOnceTheLeaseHasLapsed();
        }
    }

    /** Guards against two runs at once after a renewal that the next incarnation carried out. */
    @Nested
    class OfALateRenewal {

        @Test
        void isRespected() {
            storeConfigurationAndWorkers("w1");
            reportWorkerClocks();
            awaitLeading(new Process("one"));
            time.advance(UPTIME_MILLIS);
            submit(1, false);
            awaitRunning();
            workers.lateMillis.put(WORKER, 11_500L);
            time.advance(1_100);
            workers.lateMillis.clear();
            workers.restart("w1");
            register("w1");
            awaitRunning();
            time.advance(10_900);
            cutWorkerOff();
            assertRunsElsewhereOnceTheLeaseHasLapsed();
        }
    }
}
