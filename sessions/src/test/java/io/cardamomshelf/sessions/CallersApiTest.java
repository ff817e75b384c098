package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.entry.settings.Limits;
import io.cardamomshelf.wire.FrameCodec;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the entry's HTTP interface for callers: the documented examples, invalid input and slow
 * senders. Also tests that a malformed frame from a peer closes only its own connection.
 */
class CallersApiTest {

    /** Read timeout of the slow sender's socket, so that a test can't hang. */
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    /** Two minutes' worth at one byte every 200 ms; a connection still open then fails the test. */
    private static final int MAX_BYTES_SENT = 600;

    private static LocalDeployment local;

    @BeforeAll
    static void start() throws SessionException {
        local = new LocalDeployment();
        local.addWorker("w1", "jhb-a");
        local.addWorker("w2", "jhb-a");
        local.addEntry("entry-1", "jhb-a");
        local.addEntry(
                "strict", "jhb-a", new Limits(null, null, null, null, 3_600, 1, null, null, null));
        local.publish(32, List.of(), "jhb-a");
        local.awaitReady();
        local.awaitOffsetAndAccelerators(1, "jhb-a", 16);
    }

    @AfterAll
    static void stop() {
        local.close();
    }

    @Nested
    class DocumentedExamples {

        private static final Pattern CURL =
                Pattern.compile(
                        "curl -X (\\w+) http://127\\.0\\.0\\.1:8080(\\S+)"
                                + "((?: \\\\\n +-H '[^']+')*)(?: \\\\\n +-d '([^']+)')?\n# (\\d+)");

        @Test
        void returnTheDocumentedStatus() throws Exception {
            String page = Files.readString(projectRoot().resolve("docs/API.md"));
            Matcher example = CURL.matcher(page);
            int examples = 0;
            String job = "";
            while (example.find()) {
                examples++;
                String path = example.group(2).replace("JOB", job);
                LocalDeployment.Reply reply =
                        local.send(
                                example.group(1),
                                local.callers("entry-1") + path,
                                example.group(4),
                                parseHeaders(example.group(3)));
                assertEquals(example.group(5), "" + reply.status(), example.group());
                job = reply.body().has("job") ? reply.text("job") : job;
            }
            assertTrue(examples >= 6, "examples " + examples);
        }

        private String[] parseHeaders(String text) {
            return Pattern.compile("-H '([^:]+): ([^']+)'")
                    .matcher(text)
                    .results()
                    .flatMap(match -> Stream.of(match.group(1), match.group(2)))
                    .toArray(String[]::new);
        }
    }

    @Nested
    class InvalidInput {

        private LocalDeployment.Reply post(String path, String body) throws SessionException {
            return local.send("POST", local.callers("entry-1") + path, body);
        }

        private void assertRefused(String field, LocalDeployment.Reply reply) {
            assertEquals(400, reply.status(), reply.toString());
            assertEquals("NOT_RUN", reply.text("verdict"));
            assertEquals("INVALID", reply.text("reason"));
            assertEquals(field, reply.text("field"), reply.toString());
        }

        @Test
        void isRefusedWithTheNameOfTheField() throws SessionException {
            assertRefused(
                    "organisation", post("/v1/requests", "{\"idempotent\":true,\"payload\":\"\"}"));
            assertRefused(
                    "idempotent",
                    post("/v1/requests", "{\"organisation\":\"a\",\"payload\":\"\"}"));
            assertRefused(
                    "deadlineMillis",
                    post(
                            "/v1/requests",
                            "{\"organisation\":\"a\",\"idempotent\":true,\"payload\":\"\","
                                    + "\"deadlineMillis\":0}"));
            assertRefused(
                    "Idempotency-Key",
                    post(
                            "/v1/requests",
                            "{\"organisation\":\"a\",\"idempotent\":false,\"payload\":\"\"}"));
            assertRefused(
                    "accelerators",
                    post(
                            "/v1/jobs",
                            "{\"organisation\":\"a\",\"accelerators\":513,"
                                    + "\"estimateMillis\":1,\"payload\":\"\"}"));
            assertRefused("surprise", post("/v1/jobs", "{\"surprise\":1}"));
            assertRefused("", post("/v1/jobs", "{"));
        }

        @Test
        void aBodyOverTheLimitIsRefused() throws SessionException {
            assertRefused("body", post("/v1/requests", "x".repeat(300_000)));
        }

        @Test
        void anUnknownPathOrJobIsNotFound() throws SessionException {
            assertEquals(404, local.send("GET", local.callers("entry-1") + "/v2", null).status());
            assertEquals(404, local.job("entry-1", "j-none").status());
        }

        @Test
        void operatorsPathsNeedTheTokenAndAreOnTheOperatorsListenerOnly() throws SessionException {
            String path = "/v1/timeline";
            String operators = local.operators("entry-1");
            assertEquals(401, local.send("GET", operators + path, null).status());
            assertEquals(
                    401,
                    local.send("GET", operators + path, null, "Authorization", "Bearer x")
                            .status());
            assertEquals(404, local.send("GET", local.callers("entry-1") + path, null).status());
        }
    }

    @Nested
    class SlowSender {

        private static final String HEADERS =
                "POST /v1/requests HTTP/1.1\r\nHost: entry\r\nContent-Length: 200\r\n";

        /**
         * Sends the start of a request, then a byte every 200 ms until the entry closes the
         * connection.
         *
         * @return all that the entry answered
         */
        private String sendSlowly(String start) throws Exception {
            try (Socket socket = new Socket("127.0.0.1", port())) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                OutputStream out = socket.getOutputStream();
                out.write(start.getBytes(StandardCharsets.US_ASCII));
                AtomicInteger sent = new AtomicInteger();
                Thread sender = new Thread(() -> sendBytesSlowly(out, sent));
                sender.start();
                byte[] reply = socket.getInputStream().readAllBytes();
                sender.interrupt();
                assertTrue(sent.get() < MAX_BYTES_SENT, "the connection stayed open for all bytes");
                return new String(reply, StandardCharsets.US_ASCII);
            }
        }

        private static void sendBytesSlowly(OutputStream out, AtomicInteger sent) {
            try {
                while (sent.incrementAndGet() < MAX_BYTES_SENT) {
                    out.write('x');
                    Thread.sleep(200);
                }
            } catch (IOException | InterruptedException e) {
                // The entry has closed the connection.
                Thread.currentThread().interrupt();
            }
        }

        private static int port() {
            String address = local.callers("strict");
            return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        }

        @Test
        void bodyIsRefusedAndTheConnectionClosed() throws Exception {
            String reply = sendSlowly(HEADERS + "\r\n{");
            assertTrue(reply.startsWith("HTTP/1.1 408"), reply);
            assertTrue(reply.contains("\"TOO_SLOW\"") && reply.contains("\"NOT_RUN\""), reply);
            assertEquals(200, local.request("entry-1", true, "still here").status());
        }

        @Test
        void headersCloseTheConnectionWithoutAnswer() throws Exception {
            assertEquals("", sendSlowly(HEADERS + "X-Slow: "));
        }
    }

    @Nested
    class Peers {

        @Test
        void malformedFrameClosesOnlyItsOwnConnection() throws IOException, SessionException {
            try (Socket socket = new Socket("127.0.0.1", local.peerPort("entry-1"))) {
                OutputStream out = socket.getOutputStream();
                out.write(new byte[] {0, 0, 0, 2, FrameCodec.VERSION, 7});
                out.flush();
                assertEquals(-1, socket.getInputStream().read());
            }
            Wait.until(
                    "the refused frame is on the timeline",
                    () ->
                            local.timeline("entry-1")
                                    .toString()
                                    .contains(EventType.FRAME_REFUSED.name()));
            assertEquals(200, local.request("entry-1", true, "still here").status());
        }
    }

    private static Path projectRoot() {
        Path here = Path.of("").toAbsolutePath();
        return Files.exists(here.resolve("docs")) ? here : here.getParent();
    }
}
