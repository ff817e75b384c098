package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.cli.CliMain;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the service and the platform's stand-ins as separate processes. */
class PlatformSessionTest {

    private static final int OK = 200;

    private static final String JOB = "00000000000000b1";

    private static String body(String spec, int count) {
        return "{\"spec\":\""
                + spec
                + "\",\"phases\":[{\"count\":"
                + count
                + ",\"cpu\":1000,\"mem_mb\":1000,\"gpus\":1}]}";
    }

    private static void startTwoInstances(PlatformDeployment deployment) throws SessionException {
        deployment.configure(1, PlatformDeployment.KEY);
        deployment.startInstance("n1");
        deployment.startInstance("n2");
        Wait.until(
                "both instances are ready",
                () -> deployment.isReady("n1") && deployment.isReady("n2"));
        Wait.until("a scheduler is elected", () -> deployment.lastElected().isPresent());
    }

    private static String otherInstance(String name) {
        return name.equals("n1") ? "n2" : "n1";
    }

    /** Submits the job, again if it is refused, as an instance does that isn't current yet. */
    private static void submit(PlatformDeployment deployment, String body) throws SessionException {
        Wait.until(
                "the job is accepted",
                () -> deployment.call("n1", "POST", JOB, body).status() == OK);
    }

    private static void awaitState(PlatformDeployment deployment, String instance, String state)
            throws SessionException {
        Wait.until(
                "the job is " + state,
                () -> deployment.call(instance, "GET", JOB, null).body().contains(state));
    }

    @Nested
    class WholeSession {

        @Test
        void isAsApproved(@TempDir Path folder) throws SessionException {
            StringBuilder transcript = new StringBuilder();
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 4)) {
                new PlatformSession(deployment, line -> transcript.append(line).append('\n')).run();
            }
            Approvals.verify(transcript);
        }
    }

    @Nested
    class Workers {

        private static final String WORKER = "i-0";

        /**
         * Guards against a second run of a task that a restarted worker took before it registered.
         */
        @Test
        void restartedWorkerRunsATaskOnceThoughItRegistersLater(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 1)) {
                startTwoInstances(deployment);
                deployment.changeWorker(WORKER, "restart");
                submit(deployment, body("ms=3000", 1));
                awaitState(deployment, "n1", "completed");
                assertEquals(1, deployment.count("starts"));
                assertEquals(0, deployment.count("overlaps"));
            }
        }

        @Test
        void restartedWorkerRunsTheTaskThatItLost(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 1)) {
                startTwoInstances(deployment);
                submit(deployment, body("ms=3000", 1));
                Wait.until("the task runs", () -> deployment.count("running") == 1);
                deployment.changeWorker(WORKER, "restart");
                awaitState(deployment, "n1", "completed");
                assertEquals(2, deployment.count("starts"));
                assertEquals(0, deployment.count("overlaps"));
            }
        }

        /** Guards against a task of a cancelled job that runs on after an unhealthy time. */
        @Test
        void unhealthyWorkerStopsACancelledTaskOnceItIsHealthy(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 1)) {
                startTwoInstances(deployment);
                submit(deployment, body("ms=60000", 1));
                Wait.until("the task runs", () -> deployment.count("running") == 1);
                deployment.changeWorker(WORKER, "unhealthy");
                assertEquals(200, deployment.call("n1", "DELETE", JOB, null).status());
                String scheduler = deployment.lastElected().orElseThrow();
                Wait.until(
                        "the stop is refused",
                        () -> deployment.logText(scheduler).contains("STOP_FAILED"));
                deployment.changeWorker(WORKER, "healthy");
                Wait.until("the task is stopped", () -> deployment.count("running") == 0);
            }
        }
    }

    @Nested
    class Failures {

        @Test
        void frozenSchedulerIsReplacedAndStartsNoTaskAgainAfterResuming(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 4)) {
                startTwoInstances(deployment);
                String first = deployment.lastElected().orElseThrow();
                String second = otherInstance(first);
                deployment.call(second, "POST", JOB, body("ms=6000", 4));
                Wait.until("the tasks run", () -> deployment.count("starts") == 4);
                deployment.process(first).signal("STOP");
                Wait.until(
                        "the other instance takes over",
                        () -> deployment.lastElected().orElseThrow().equals(second));
                deployment.process(first).signal("CONT");
                awaitState(deployment, second, "completed");
                awaitState(deployment, first, "completed");
                assertEquals(4, deployment.count("starts"));
                assertEquals(0, deployment.count("overlaps"));
            }
        }

        @Test
        void submissionRefusedWhileTheStoreFailsIsNeverRun(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                deployment.setStoreFault("refusing");
                Deployment.Reply refused = deployment.call("n1", "POST", JOB, body("ms=10", 1));
                assertEquals(503, refused.status());
                Wait.until("the instance is not ready", () -> !deployment.isReady("n1"));
                deployment.setStoreFault("none");
                Wait.until("the instance is ready again", () -> deployment.isReady("n1"));
                assertEquals(410, deployment.call("n1", "GET", JOB, null).status());
                assertEquals(0, deployment.count("starts"));
            }
        }

        @Test
        void submissionWithLostAppendAnswerReturns504AndRunsOnceAfterRetry(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                deployment.setStoreFault("losing");
                int status = deployment.call("n1", "POST", JOB, body("ms=10", 1)).status();
                deployment.setStoreFault("none");
                assertEquals(504, status);
                assertEquals(200, deployment.call("n2", "POST", JOB, body("ms=10", 1)).status());
                awaitState(deployment, "n2", "completed");
                assertEquals(1, deployment.count("starts"));
            }
        }

        @Test
        void restartedInstanceShowsJobsWhoseHistoryHasExpired(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                submit(deployment, body("ms=10", 1));
                awaitState(deployment, "n1", "completed");
                deployment.setStoreFault("expire");
                String second = otherInstance(deployment.lastElected().orElseThrow());
                deployment.process(second).kill();
                deployment.startInstance(second);
                awaitState(deployment, second, "completed");
                assertEquals(1, deployment.count("starts"));
            }
        }

        @Test
        void taskThatFitsNoWorkerIsRefusedAtOnce(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                String large = body("ms=10", 1).replace("\"gpus\":1", "\"gpus\":9");
                assertEquals(429, deployment.call("n1", "POST", JOB, large).status());
                assertEquals(410, deployment.call("n1", "GET", JOB, null).status());
            }
        }

        @Test
        void aRevokedKeyIsRefused(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                deployment.configure(2, "another-key");
                Wait.until(
                        "the old key is refused",
                        () -> deployment.call("n1", "GET", JOB, null).status() == 401);
            }
        }

        @Test
        void aRevokedKeyIsRefusedAfterARestart(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                deployment.configure(2, "another-key");
                Wait.until(
                        "the old key is refused",
                        () -> deployment.call("n1", "GET", JOB, null).status() == 401);
                deployment.setStoreFault("expire");
                deployment.process("n1").kill();
                deployment.startInstance("n1");
                AtomicInteger status = new AtomicInteger();
                Wait.until(
                        "the restarted instance has read the configuration",
                        () -> {
                            status.set(deployment.call("n1", "GET", JOB, null).status());
                            return status.get() != 503;
                        });
                assertEquals(401, status.get());
            }
        }

        @Test
        void malformedRequestsAreRefusedAndEndNoProcess(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                List<String> bodies =
                        List.of(
                                "",
                                "null",
                                "[]",
                                "{\"phases\":null}",
                                "{\"spec\":1,\"phases\":[]}",
                                body("x", 1).replace("1000", "1e400"),
                                body("x", 1).replace("1000", "-5"),
                                body("x", 1).replace("\"count\":1", "\"count\":2147483648"),
                                body("x", 1).replace("\"gpus\":1", "\"after\":[7]"),
                                "[".repeat(50_000),
                                body("x", 1).substring(0, 20));
                for (String body : bodies) {
                    int status = deployment.call("n1", "POST", JOB, body).status();
                    assertEquals(400, status, body.substring(0, Math.min(100, body.length())));
                }
                for (String path : List.of("/jobs/%20", "/jobs/../x", "/%00", "//", "/jobs/x/y")) {
                    int status =
                            deployment
                                    .call("n1", "GET", path, null, PlatformDeployment.KEY)
                                    .status();
                    assertTrue(status == 400 || status == 404, path + " " + status);
                }
                submit(deployment, body("ms=10", 1));
                awaitState(deployment, "n2", "completed");
                assertFalse(deployment.logText("n1").contains("ERROR"));
                assertFalse(deployment.logText("n1").contains("UNEXPECTED_ERROR"));
            }
        }

        @Test
        void jobThatReachesItsMaximumOfAttemptsIsShownAsFailed(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 4)) {
                startTwoInstances(deployment);
                submit(deployment, body("ms=10 fail", 1));
                awaitState(deployment, "n1", "failed");
                assertEquals(3, deployment.count("starts"));
            }
        }
    }

    /** The {@code explain} command finds the cause of a failed request from its id and the logs. */
    @Nested
    class ExplainCommand {

        private static final String REFUSED = "00000000000000b2";
        private static final String LATE = "00000000000000b3";

        private static String explain(Path folder, String id) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            String[] logs = {"n1.log", "n2.log"};
            String[] args = {
                "explain",
                id,
                "--logs",
                folder.resolve(logs[0]).toString(),
                "--logs",
                folder.resolve(logs[1]).toString()
            };
            assertEquals(0, CliMain.run(args, new PrintStream(out), System.err));
            return out.toString();
        }

        @Test
        void findsTheCausesOfFailedRequestsInTheLogs(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 4)) {
                startTwoInstances(deployment);
                deployment.setStoreFault("losing");
                assertEquals(504, deployment.call("n1", "POST", JOB, body("ms=10", 1)).status());
                deployment.setStoreFault("none");
                assertEquals(200, deployment.call("n2", "POST", JOB, body("ms=10", 1)).status());
                awaitState(deployment, "n2", "completed");
                deployment.setStoreFault("refusing");
                assertEquals(
                        503, deployment.call("n1", "POST", REFUSED, body("ms=10", 1)).status());
                deployment.setStoreFault("none");
                Wait.until(
                        "both instances are ready",
                        () -> deployment.isReady("n1") && deployment.isReady("n2"));
                String first = deployment.lastElected().orElseThrow();
                String second = otherInstance(first);
                deployment.call(second, "POST", LATE, body("ms=5000", 1));
                Wait.until("the tasks run", () -> deployment.count("starts") == 2);
                deployment.process(first).kill();
                Wait.until(
                        "the job completes",
                        () ->
                                deployment
                                        .call(second, "GET", LATE, null)
                                        .body()
                                        .contains("completed"));
            }
            assertContains(explain(folder, JOB), "an answer of 504 was given for it");
            assertContains(explain(folder, REFUSED), "It was refused with 503");
            assertContains(explain(folder, REFUSED), "it was not stored and never runs");
            assertContains(explain(folder, LATE), "to RUN_ENDED");
            assertContains(explain(folder, LATE), "LEADERSHIP_WON");
        }

        private static void assertContains(String text, String part) {
            assertTrue(text.contains(part), text);
        }
    }

    @Nested
    class GracefulStop {

        @Test
        void transfersLeadershipAtOnce(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                String first = deployment.lastElected().orElseThrow();
                assertEquals(0, deployment.process(first).terminate());
                Wait.until(
                        "the other instance takes over",
                        () -> deployment.lastElected().orElseThrow().equals(otherInstance(first)));
                assertTrue(deployment.logText(first).contains("LEADERSHIP_RESIGNED"));
                assertFalse(deployment.logText(first).contains("ERROR"));
            }
        }

        @Test
        void writesItsLastLine(@TempDir Path folder) throws SessionException {
            List<String> names = List.of("n1", "n2", "n3", "n4", "n5", "n6");
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                deployment.configure(1, PlatformDeployment.KEY);
                for (String name : names) {
                    deployment.startInstance(name);
                }
                for (String name : names) {
                    deployment.process(name).signal("TERM");
                }
                for (String name : names) {
                    assertEquals(0, deployment.process(name).awaitEnd());
                    assertTrue(deployment.logText(name).contains("SERVICE_STOPPED"), name);
                }
            }
        }
    }

    /** The archive of class data holds what a training run loads. */
    @Nested
    class TrainingRun {

        @Test
        void takesOverAndPreemptsLikeARestartedProcess(@TempDir Path folder)
                throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 1)) {
                String errors = deployment.rehearse("trained");
                assertTrue(errors.contains("\"state\":\"completed\""), errors);
                String log = deployment.logText("trained");
                for (String event :
                        List.of("TAKEOVER_COMPLETE", "RECLAIMED", "JOB_ENDED", "SERVICE_STOPPED")) {
                    assertTrue(log.contains(event), event);
                }
            }
        }
    }

    @Nested
    class SettingsReload {

        @Test
        void keepsTheProcessRunningEvenIfInvalid(@TempDir Path folder) throws SessionException {
            try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
                startTwoInstances(deployment);
                deployment.process("n1").signal("HUP");
                Wait.until(
                        "the settings are read again",
                        () -> deployment.logText("n1").contains("unchanged"));
                deployment.rewriteSettings("n1", "node_name=");
                deployment.process("n1").signal("HUP");
                Wait.until(
                        "the invalid settings are refused",
                        () ->
                                deployment
                                        .logText("n1")
                                        .contains("n1.conf: bounds.revoke_ms: is missing"));
                assertTrue(deployment.process("n1").isAlive());
                assertEquals(410, deployment.call("n1", "GET", JOB, null).status());
            }
        }
    }
}
