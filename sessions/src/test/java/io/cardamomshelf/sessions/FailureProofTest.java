package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.standin.LogStandin;
import io.cardamomshelf.standin.WorkerStandin;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What must always hold, under failures, in one process in which the switches are exact. */
class FailureProofTest {

    private static final String JHB = "jhb-a";
    private static final String PTA = "pta-b";

    private LocalDeployment local;

    @BeforeEach
    void start() throws SessionException {
        local = new LocalDeployment();
        for (String site : List.of(JHB, PTA)) {
            local.addWorker(site + "-w1", site);
            local.addWorker(site + "-w2", site);
        }
        local.addEntry("entry-1", JHB);
        local.addEntry("entry-2", PTA);
    }

    @AfterEach
    void stop() {
        local.close();
    }

    private void publish(List<Guarantee> guarantees, String... sites) throws SessionException {
        local.publish(64, guarantees, sites);
        local.awaitReady();
        local.awaitState(1, JHB, 16);
        local.awaitState(1, PTA, 16);
    }

    private String submitRunning(String entry, int accelerators, long runMillis)
            throws SessionException {
        String job = local.submit(entry, accelerators, runMillis).text("job");
        local.awaitJob(entry, job, "RUNNING");
        return job;
    }

    private int starts(String job) {
        int starts = 0;
        for (String worker : List.of("jhb-a-w1", "jhb-a-w2", "pta-b-w1", "pta-b-w2")) {
            for (JobId started : local.worker(worker).startedJobs()) {
                starts += started.value().equals(job) ? 1 : 0;
            }
        }
        return starts;
    }

    private int runs(String payload) {
        int runs = 0;
        for (String worker : List.of("jhb-a-w1", "jhb-a-w2", "pta-b-w1", "pta-b-w2")) {
            for (String run : local.worker(worker).requestPayloads()) {
                runs += run.equals(payload) ? 1 : 0;
            }
        }
        return runs;
    }

    private void allWorkers(WorkerStandin.Mode mode) {
        for (String worker : List.of("jhb-a-w1", "jhb-a-w2", "pta-b-w1", "pta-b-w2")) {
            local.worker(worker).setMode(mode, 0);
        }
    }

    @Nested
    class AtMostOnce {

        @Test
        void anAnswerLostAfterTheEffectIsNeverRunAgain() throws SessionException {
            publish(List.of(), JHB);
            allWorkers(WorkerStandin.Mode.CUT);
            LocalDeployment.Reply first =
                    local.request("entry-1", false, "payout 1", "Idempotency-Key", "k-1");
            assertEquals("MAY_HAVE_RUN", first.text("verdict"), first.toString());
            allWorkers(WorkerStandin.Mode.NORMAL);
            for (String entry : List.of("entry-1", "entry-2", "entry-1")) {
                LocalDeployment.Reply again =
                        local.request(entry, false, "payout 1", "Idempotency-Key", "k-1");
                assertEquals("MAY_HAVE_RUN", again.text("verdict"), again.toString());
            }
            assertEquals(1, runs("payout 1"));
        }

        @Test
        void aRefusalBeforeRunningIsTrueAndARepeatRuns() throws SessionException {
            publish(List.of(), JHB);
            allWorkers(WorkerStandin.Mode.REFUSE);
            LocalDeployment.Reply first =
                    local.request("entry-1", false, "payout 2", "Idempotency-Key", "k-2");
            assertEquals("NOT_RUN", first.text("verdict"), first.toString());
            assertEquals(0, runs("payout 2"));
            allWorkers(WorkerStandin.Mode.NORMAL);
            LocalDeployment.Reply again =
                    local.request("entry-2", false, "payout 2", "Idempotency-Key", "k-2");
            assertEquals("RAN", again.text("verdict"), again.toString());
            assertEquals(1, runs("payout 2"));
        }

        @Test
        void twoInstancesRacingWithOneKeyRunItOnce() throws Exception {
            publish(List.of(), JHB);
            for (int round = 0; round < 20; round++) {
                String payload = "race " + round;
                String key = "race-" + round;
                CompletableFuture<LocalDeployment.Reply> one = send("entry-1", payload, key);
                CompletableFuture<LocalDeployment.Reply> two = send("entry-2", payload, key);
                assertEquals("RAN", one.get().text("verdict"), one.get().toString());
                assertEquals("RAN", two.get().text("verdict"), two.get().toString());
                assertEquals(one.get().text("answer"), two.get().text("answer"));
                assertEquals(1, runs(payload));
            }
        }

        private CompletableFuture<LocalDeployment.Reply> send(
                String entry, String payload, String key) {
            return CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return local.request(entry, false, payload, "Idempotency-Key", key);
                        } catch (SessionException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }

        @Test
        void withTheLogAwayNothingRunsAndTheRefusalIsTrue() throws SessionException {
            publish(List.of(), JHB);
            local.log().setMode(LogStandin.Mode.DOWN);
            LocalDeployment.Reply reply =
                    local.request("entry-1", false, "payout 3", "Idempotency-Key", "k-3");
            assertEquals("NOT_RUN", reply.text("verdict"));
            assertEquals("LOG_AWAY", reply.text("reason"));
            assertEquals(0, runs("payout 3"));
            assertEquals("RAN", local.request("entry-1", true, "look up").text("verdict"));
        }
    }

    @Nested
    class WholeAnswers {

        @Test
        void crossedAndCutAnswersNeverReachACaller() throws SessionException {
            publish(List.of(), JHB);
            for (WorkerStandin.Mode mode :
                    List.of(WorkerStandin.Mode.CROSSED, WorkerStandin.Mode.CUT)) {
                local.worker("jhb-a-w1").setMode(mode, 0);
                for (int round = 0; round < 20; round++) {
                    String payload = mode + " " + round;
                    LocalDeployment.Reply reply = local.request("entry-1", true, payload);
                    if (reply.text("verdict").equals("RAN")) {
                        assertEquals("done:" + payload, reply.text("answer"));
                    } else {
                        assertEquals("MAY_HAVE_RUN", reply.text("verdict"));
                    }
                }
            }
        }
    }

    @Nested
    class DataCentreOut {

        @Test
        void nothingStartsThereAndWorkResumesByItself() throws SessionException {
            publish(List.of(), JHB);
            local.setIn(JHB, false, 0);
            local.awaitState(2, JHB, 16);
            String job = local.submit("entry-1", 16, 500).text("job");
            Wait.until(
                    "the job says why it waits",
                    () -> local.job("entry-1", job).text("waitsFor").contains("data centre"));
            assertEquals(0, starts(job));
            local.setIn(JHB, true, 2);
            local.awaitJob("entry-1", job, "ENDED");
            assertEquals(2, starts(job));
        }

        @Test
        void aRunningJobMovesWithItsCheckpoint() throws SessionException {
            publish(List.of(), JHB, PTA);
            String job = submitRunning("entry-1", 16, 4_000);
            String from = local.job("entry-1", job).text("dataCentre");
            local.setIn(from, false, 0);
            Wait.until(
                    "the job runs elsewhere",
                    () ->
                            local.job("entry-1", job).text("state").equals("RUNNING")
                                    && !local.job("entry-1", job).text("dataCentre").equals(from));
            local.awaitJob("entry-1", job, "ENDED");
            assertEquals("SUCCEEDED", local.job("entry-1", job).text("result"));
            assertEquals(4, starts(job));
        }
    }

    @Nested
    class Reclaim {

        @Test
        void aGuaranteedShapeIsClaimedFromBorrowersThatStillRun() throws SessionException {
            publish(List.of(new Guarantee(DataCentreId.of(JHB), 16, 1)), JHB);
            List<String> borrowers = new ArrayList<>();
            for (int index = 0; index < 4; index++) {
                borrowers.add(local.submit("entry-1", 4, 300_000).text("job"));
            }
            for (String borrower : borrowers) {
                local.awaitJob("entry-1", borrower, "RUNNING");
            }
            String claim = local.submit("entry-2", 16, 500).text("job");
            local.awaitJob("entry-2", claim, "ENDED");
            assertEquals("SUCCEEDED", local.job("entry-2", claim).text("result"));
            for (String borrower : borrowers) {
                local.awaitJob("entry-1", borrower, "RUNNING");
                assertEquals(2, starts(borrower));
            }
            for (String worker : List.of("jhb-a-w1", "jhb-a-w2")) {
                assertEquals(0, local.worker(worker).discardedMillis(), "work lost on " + worker);
            }
        }
    }

    @Nested
    class FailingWorker {

        @Test
        void noJobFailsForAWorkerThatFailsAll() throws SessionException {
            publish(List.of(), JHB);
            local.worker("jhb-a-w1").setMode(WorkerStandin.Mode.FAIL_ALL, 0);
            long begun = System.nanoTime();
            for (int index = 0; index < 8; index++) {
                String job = local.submit("entry-1", 8, 100).text("job");
                local.awaitJob("entry-1", job, "ENDED");
                assertEquals("SUCCEEDED", local.job("entry-1", job).text("result"));
            }
            assertTrue(local.timeline("entry-1").toString().contains("WORKER_QUARANTINED"));
            assertEquals(8, local.worker("jhb-a-w2").startedJobs().size());
            // Two failures, then at most a probe for each minute of quarantine that is over.
            long minutes = (System.nanoTime() - begun) / 60_000_000_000L;
            int starts = local.worker("jhb-a-w1").startedJobs().size();
            assertTrue(starts <= 2 + minutes, starts + " starts in " + minutes + " minutes");
        }

        @Test
        void aJobThatFailsEverywhereEndsAsFailed() throws SessionException {
            publish(List.of(), JHB);
            allWorkers(WorkerStandin.Mode.FAIL_ALL);
            String job = local.submit("entry-1", 8, 100).text("job");
            local.awaitJob("entry-1", job, "ENDED");
            assertEquals("FAILED", local.job("entry-1", job).text("result"));
            assertEquals(6, starts(job));
        }
    }

    @Nested
    class Unmet {

        @Test
        void aGuaranteeThatNoLongerPacksIsSaidAtOnceAndPassesByItself() throws SessionException {
            publish(List.of(new Guarantee(DataCentreId.of(JHB), 16, 1)), JHB);
            local.worker("jhb-a-w2").setMode(WorkerStandin.Mode.FREEZE, 0);
            Wait.until("the outage is said", () -> isOnTimeline("GUARANTEE_UNMET"));
            local.worker("jhb-a-w2").setMode(WorkerStandin.Mode.NORMAL, 0);
            Wait.until("the return is said", () -> isOnTimeline("GUARANTEE_MET"));
        }

        private boolean isOnTimeline(String event) throws SessionException {
            return local.timeline("entry-1").toString().contains(event);
        }
    }

    @Nested
    class OwnerDies {

        @Test
        void aRunningGangGoesOnUnderAnotherOwnerAndRunsOnce() throws SessionException {
            publish(List.of(), JHB);
            String job = submitRunning("entry-1", 16, 6_000);
            local.crash("entry-1");
            local.awaitJob("entry-2", job, "ENDED");
            assertEquals("SUCCEEDED", local.job("entry-2", job).text("result"));
            assertEquals(2, starts(job));
        }

        @Test
        void aQueuedJobIsPlacedByAnother() throws SessionException {
            publish(List.of(), JHB);
            String running = submitRunning("entry-1", 16, 2_000);
            String queued = local.submit("entry-1", 16, 300).text("job");
            assertFalse(queued.isEmpty());
            local.crash("entry-1");
            local.awaitJob("entry-2", queued, "ENDED");
            assertEquals("SUCCEEDED", local.job("entry-2", queued).text("result"));
        }
    }

    @Nested
    class MemberLost {

        @Test
        void aFrozenMemberStopsTheWholeGang() throws SessionException {
            publish(List.of(), JHB);
            String job = submitRunning("entry-1", 16, 120_000);
            local.worker("jhb-a-w2").setMode(WorkerStandin.Mode.FREEZE, 0);
            Wait.until(
                    "the gang is stopped",
                    () -> local.timeline("entry-1").toString().contains("GANG_ABORTED"));
            Wait.until(
                    "no part is left on the other member",
                    () -> !local.worker("jhb-a-w1").isBusy());
        }
    }

    @Nested
    class LogAway {

        @Test
        void acceptedJobsAreSafeAndNewOnesAreRefusedTruthfully() throws SessionException {
            publish(List.of(), JHB);
            String job = submitRunning("entry-1", 16, 2_000);
            local.log().setMode(LogStandin.Mode.DOWN);
            LocalDeployment.Reply refused = local.submit("entry-1", 1, 100);
            assertEquals(503, refused.status());
            assertEquals("NOT_RUN", refused.text("verdict"));
            local.log().setMode(LogStandin.Mode.UP);
            local.awaitJob("entry-1", job, "ENDED");
            assertEquals("SUCCEEDED", local.job("entry-1", job).text("result"));
            assertEquals(2, starts(job));
        }

        @Test
        void anEditWhoseAnswerWasLostIsInForceOnceAndEverywhere() throws SessionException {
            publish(List.of(), JHB);
            local.log().setMode(LogStandin.Mode.LOSE_ANSWERS);
            boolean lost = false;
            try {
                local.setIn(JHB, false, 0);
            } catch (SessionException e) {
                lost = true;
            }
            local.log().setMode(LogStandin.Mode.UP);
            assertTrue(lost, "the answer should have been lost");
            local.awaitState(2, JHB, 16);
            for (String entry : List.of("entry-1", "entry-2")) {
                assertTrue(local.status(entry).toString().contains("\"in\":false"));
            }
        }

        @Test
        void aNewInstanceLearnsTheListsFromAPeer() throws SessionException {
            publish(List.of(), JHB);
            local.log().setMode(LogStandin.Mode.DOWN);
            local.addEntry("entry-3", JHB);
            local.awaitState(1, JHB, 16);
            assertEquals("RAN", local.request("entry-3", true, "hello").text("verdict"));
        }
    }
}
