package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.cardamomshelf.sessions.HostileCrowd.Payload;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that an instance survives crowds of misbehaving clients.
 *
 * <p>Each crowd is too large for the lowered heap, machine memory or descriptors of its instance.
 * While the crowd stays connected, and again after it has left, the process must live within its
 * memory and descriptors, report ready, and accept and run an ordinary job. Nothing depends on how
 * fast the host is.
 */
class UntrustedClientsTest {

    private static final String INSTANCE = "n1";
    private static final List<String> OPTIONS = List.of("-Xmx48m", "-Xss256k");

    /** The memory of the instance's machine. An idle instance uses about 100 MB. */
    private static final int MEMORY_MB = 200;

    /** The descriptors of the instance's machine, of which 200 are for files. */
    private static final int MAX_FDS = 500;

    private static final int BODY_BYTES = 262_144;
    private static final int MISSING_BYTES = 64;
    private static final int JOB_PORT_CROWD = 300;

    /** More connections than the machine has descriptors. */
    private static final int CONNECTION_CROWD = 700;

    private static final String ROUTED = "/jobs/00000000000000c1";
    private static final String UNROUTED = "/elsewhere";
    private static final byte[] FILLER = {'x'};

    @TempDir private Path folder;

    @FunctionalInterface
    private interface Port {
        int of(PlatformDeployment.Ports ports);
    }

    @FunctionalInterface
    private interface CrowdFactory {
        HostileCrowd start(int port) throws IOException;
    }

    private static String head(String method, String path, String... fields) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: "
                + PlatformDeployment.KEY
                + "\r\n"
                + Stream.of(fields).map(field -> field + "\r\n").reduce("", String::concat);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static Payload stallingBody(String path) {
        return new Payload(
                ascii(head("POST", path, "Content-Length: " + BODY_BYTES) + "\r\n"),
                FILLER,
                BODY_BYTES - MISSING_BYTES);
    }

    private static Payload body(String start, String repeated, int bytes, String end) {
        int repetitions = (bytes - start.length() - end.length()) / repeated.length();
        String text = start + repeated.repeat(repetitions) + end;
        String head = head("POST", ROUTED, "Content-Length: " + text.length()) + "\r\n";
        return new Payload(ascii(head + text), FILLER, 0);
    }

    private static Payload requests(String path, int number) {
        return new Payload(new byte[0], ascii(head("GET", path) + "\r\n"), number);
    }

    private void assertWithstands(Port port, CrowdFactory crowds) throws Exception {
        try (PlatformDeployment deployment = PlatformDeployment.start(folder, 2)) {
            deployment.configure(1, PlatformDeployment.KEY);
            deployment.startInstance(
                    INSTANCE,
                    OPTIONS,
                    List.of("limits.memory_mb=" + MEMORY_MB, "limits.max_fds=" + MAX_FDS));
            Wait.until("a scheduler is elected", () -> deployment.lastElected().isPresent());
            // As the platform does all the time.
            Wait.until("the instance is ready", () -> deployment.isReady(INSTANCE));
            Wait.until("metrics are exported", () -> deployment.exportsMetrics(INSTANCE));
            try (HostileCrowd crowd = crowds.start(port.of(deployment.ports(INSTANCE)))) {
                crowd.awaitSent();
                assertWithinLimits(deployment);
                assertServes(deployment, "00000000000000d1");
                assertWithinLimits(deployment);
            }
            assertServes(deployment, "00000000000000d2");
        }
    }

    private static void assertWithinLimits(PlatformDeployment deployment) throws IOException {
        assertTrue(deployment.process(INSTANCE).isAlive(), "the process has ended");
        Path proc = Path.of("/proc", String.valueOf(deployment.process(INSTANCE).pid()));
        long residentKb =
                Files.readAllLines(proc.resolve("status")).stream()
                        .filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                residentKb < MEMORY_MB * 1024L,
                "the process had " + residentKb + " KB of resident memory");
        try (Stream<Path> descriptors = Files.list(proc.resolve("fd"))) {
            long open = descriptors.count();
            assertTrue(open <= MAX_FDS, "the process has " + open + " descriptors");
        }
    }

    private static void assertServes(PlatformDeployment deployment, String job) {
        String body = "{\"spec\":\"ms=10\",\"phases\":[{\"count\":1,\"cpu\":1000,\"gpus\":1}]}";
        assertEventually("the instance is ready", () -> deployment.isReady(INSTANCE));
        assertEventually(
                "a job is accepted",
                () -> deployment.call(INSTANCE, "POST", job, body).status() == 200);
        assertEventually(
                "the job is completed",
                () -> deployment.call(INSTANCE, "GET", job, null).body().contains("completed"));
        assertTrue(deployment.process(INSTANCE).isAlive(), "the process has ended");
    }

    private static void assertEventually(String description, Wait.Condition condition) {
        try {
            Wait.until(description, condition);
        } catch (SessionException e) {
            fail(e.getMessage());
        }
    }

    @Nested
    class Bodies {

        /** Guards against a heap that is exhausted by bodies that are never completed. */
        @Test
        void thatStallShortOfTheirEnd() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, stallingBody(ROUTED)));
        }

        /** Guards against buffering bodies whose length isn't declared. */
        @Test
        void inChunksThatStallShortOfTheirEnd() throws Exception {
            String head = head("POST", ROUTED, "Transfer-Encoding: chunked") + "\r\n";
            byte[] chunk = ascii("400\r\n" + "x".repeat(1_024) + "\r\n");
            Payload payload = new Payload(ascii(head), chunk, BODY_BYTES / 1_024 - 1);
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, payload));
        }

        /** Guards against buffering a body before its path is known to have a queue. */
        @Test
        void atAPathWithoutARoute() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, stallingBody(UNROUTED)));
        }

        /** Guards against keeping what is sent beyond the longest body. */
        @Test
        void farBeyondTheLimit() throws Exception {
            int bytes = 16 * 1024 * 1024;
            Payload payload =
                    new Payload(
                            ascii(head("POST", ROUTED, "Content-Length: " + bytes) + "\r\n"),
                            FILLER,
                            bytes);
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, 8, payload));
        }

        /** Guards against documents that take far more memory parsed than as text. */
        @Test
        void ofVeryManyValues() throws Exception {
            Payload payload = body("{\"phases\":[", "[],", BODY_BYTES, "[]]}");
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, payload));
        }

        /** Guards against a parser that recurses as deep as the document is nested. */
        @Test
        void ofVeryManyLevels() throws Exception {
            Payload payload = body("{\"phases\":", "[", 40_000, "0");
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, payload));
        }

        /** Guards against stalled requests that use up the readiness server's memory. */
        @Test
        void atTheReadinessPort() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::ready,
                    port -> HostileCrowd.start(port, JOB_PORT_CROWD, stallingBody("/ready")));
        }
    }

    @Nested
    class UnreadResponses {

        private static final int CONNECTIONS = 10;
        private static final int REQUESTS = 40_000;

        /** Guards against queues of requests that wait for the one before them. */
        @Test
        void ofQueuedRequestsForAJob() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, CONNECTIONS, requests(ROUTED, REQUESTS)));
        }

        /** Guards against responses that pile up in the service. */
        @Test
        void ofRequestsWithoutARoute() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, CONNECTIONS, requests(UNROUTED, REQUESTS)));
        }

        /** Guards against a readiness server that answers without end. */
        @Test
        void ofReadinessChecks() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::ready,
                    port -> HostileCrowd.start(port, CONNECTIONS, requests("/ready", REQUESTS)));
        }

        /** Guards against long texts of metrics that pile up. */
        @Test
        void ofMetrics() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::metrics,
                    port -> HostileCrowd.start(port, CONNECTIONS, requests("/metrics", REQUESTS)));
        }
    }

    @Nested
    class Connections {

        private static final long TRICKLE_INTERVAL_MILLIS = 100;

        private static Payload unfinishedHead() {
            return new Payload(ascii(head("GET", ROUTED)), ascii("X-A: b\r\n"), 10);
        }

        /** Guards against more connections than the process has descriptors. */
        @Test
        void thatStallInTheHead() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port -> HostileCrowd.start(port, CONNECTION_CROWD, unfinishedHead()));
        }

        /** Guards against idle limits that a byte now and then evades. */
        @Test
        void thatSendTheHeadByteByByte() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::callers,
                    port ->
                            HostileCrowd.startTrickling(
                                    port,
                                    CONNECTION_CROWD,
                                    unfinishedHead(),
                                    TRICKLE_INTERVAL_MILLIS));
        }

        /** Guards against connections to the readiness port that keep the platform's check out. */
        @Test
        void toTheReadinessPort() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::ready,
                    port -> HostileCrowd.start(port, CONNECTION_CROWD, unfinishedHead()));
        }

        /** Guards against connections to the metrics port that use up the descriptors. */
        @Test
        void toTheMetricsPort() throws Exception {
            assertWithstands(
                    PlatformDeployment.Ports::metrics,
                    port -> HostileCrowd.start(port, CONNECTION_CROWD, unfinishedHead()));
        }
    }
}
