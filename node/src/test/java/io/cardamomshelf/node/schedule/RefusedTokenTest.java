package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests workers that refuse the scheduler's fencing token though no successor was elected. */
class RefusedTokenTest extends SchedulingFixture {

    private static final long HIGHER_TOKEN = 1_000_000;
    private static final JobId SECOND = JobId.of("00000000000000ab");

    private Process process;

    private void lead(String... names) {
        storeConfigurationAndWorkers(names);
        process = new Process("one");
        awaitLeading(process);
        time.advance(1_000);
    }

    /** Guards against an entry of another service, whose worker ends every scheduler's term. */
    @Nested
    class OfAServiceThatIsNotConfigured {

        private static final String FOREIGN = "x1";

        private void registerForeignWorker() {
            reportService("foreign", FOREIGN);
            workers.worker(FOREIGN).highestToken = HIGHER_TOKEN;
            register(FOREIGN);
        }

        private void assertSchedulesWithoutTheForeignWorker() {
            time.advance(3_000);
            submitSmall(JOB);
            time.advance(500);
            assertTrue(process.candidate.isLeading());
            assertTrue(workers.isRunning(TASK));
            assertEquals(0, workers.worker(FOREIGN).renewals);
        }

        @Test
        void areNotCalledAndDoNotEndTheTerm() {
            lead("w1");
            registerForeignWorker();
            assertSchedulesWithoutTheForeignWorker();
        }

        @Test
        void areNotCalledByASchedulerThatFindsThemRegistered() {
            registerForeignWorker();
            lead("w1");
            assertSchedulesWithoutTheForeignWorker();
        }

        @Test
        void areCalledOnceTheirServiceIsConfigured() {
            QueuePolicy later = new QueuePolicy("later", "later", 1, 3, 3, 1_500, false);
            reportService("later", FOREIGN);
            register(FOREIGN);
            lead("w1");
            assertEquals(0, workers.worker(FOREIGN).renewals);
            configure(QUEUE, later);
            time.advance(500);
            submit(JOB, later, 1, 1, false);
            time.advance(500);
            assertEquals(WorkerId.of(FOREIGN), workers.hostOf(TASK));
        }

        @Test
        void areCalledIfAJobOfARemovedQueueNeedsThem() {
            lead("w1");
            submitSmall(JOB);
            time.advance(500);
            configure(new QueuePolicy("other", "other", 1, 3, 3, 1_500, false));
            time.advance(500);
            process.candidate.resign().subscribe().with(done -> {});
            process = new Process("two");
            awaitLeading(process);
            register("w2");
            submitSmall(SECOND);
            time.advance(2_000);
            assertTrue(workers.isRunning(TaskId.of(SECOND, 0, 0, 0)));
        }
    }

    /** Guards against one worker's word that ends scheduling for all. */
    @Nested
    class OfOurService {

        private void raiseTokens(String... names) {
            for (String name : names) {
                workers.worker(name).highestToken = HIGHER_TOKEN;
            }
        }

        @Test
        void doNotEndTheTermThatTheStoreProves() {
            lead("w1", "w2", "w3");
            raiseTokens("w1", "w2");
            submit(3, false);
            time.advance(10_000);
            assertTrue(process.candidate.isLeading());
            assertTrue(workers.running().get(WorkerId.of("w3")).size() > 0);
        }

        @Test
        void areNotCalledAgainBeforeTheyRestart() {
            lead("w1");
            raiseTokens("w1");
            submitSmall(JOB);
            time.advance(1_000);
            int starts = workers.starts.size();
            int renewals = workers.worker("w1").renewals;
            time.advance(20_000);
            assertEquals(starts, workers.starts.size());
            assertEquals(renewals, workers.worker("w1").renewals);
            workers.restart("w1");
            register("w1");
            time.advance(2_000);
            assertTrue(workers.isRunning(TASK));
        }

        @Test
        void loseTheirRunsWithTheirLeases() {
            lead("w1");
            submitSmall(JOB);
            time.advance(1_000);
            raiseTokens("w1");
            time.advance(1_000);
            register("w2");
            time.advance(12_000);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void endTheTermIfSeveralAgreeAndTheStoreIsAway() {
            lead("w1", "w2", "w3");
            submit(3, false);
            time.advance(1_000);
            store.fault = Fault.UNRESPONSIVE;
            raiseTokens("w1", "w2");
            time.advance(4_000);
            assertFalse(process.candidate.isLeading());
        }

        @Test
        void doNotEndTheTermIfOneIsAloneAndTheStoreIsAway() {
            lead("w1", "w2", "w3");
            submit(3, false);
            time.advance(1_000);
            store.fault = Fault.UNRESPONSIVE;
            raiseTokens("w1");
            time.advance(12_000);
            assertTrue(process.candidate.isLeading());
            assertEquals(1, workers.running().get(WorkerId.of("w2")).size());
            assertEquals(1, workers.running().get(WorkerId.of("w3")).size());
        }
    }
}
