package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.CallersProtocol;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.OperatorFact;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.settings.CallerLimits;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.cardamomshelf.node.store.WorkersView;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what a caller gets if a call fails or is refused early. */
class CallersServerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String HOST = "127.0.0.1";

    /** A protocol that can't cope with any key. */
    private static final class FailingProtocol implements CallersProtocol {

        @Override
        public Optional<String> key(HttpServerRequest request) {
            throw new IllegalStateException("an unexpected error");
        }

        @Override
        public OptionalLong deadlineMillis(HttpServerRequest request) {
            return OptionalLong.empty();
        }

        @Override
        public boolean isJobId(String text) {
            return true;
        }

        @Override
        public JobRequest parseRequest(Buffer body) throws MalformedException {
            throw new MalformedException("not reached");
        }

        @Override
        public Buffer formatState(JobState state) {
            return Buffer.buffer(state.name());
        }

        @Override
        public Buffer formatPending(long pending) {
            return Buffer.buffer(String.valueOf(pending));
        }

        @Override
        public Buffer formatRefusal(String reason) {
            return Buffer.buffer(reason);
        }
    }

    private static final class Decoder implements RecordDecoder {

        @Override
        public OperatorFact operatorFact(StoredRecord record) {
            QueuePolicy queue = new QueuePolicy("q", "rota", 0, 1, 1, 1, false);
            return new OperatorFact.Configured(
                    new Configuration(
                            1,
                            List.of(new Configuration.Route(HOST, "/p/", false, 3_000, queue)),
                            List.of(),
                            new Configuration.Limits(1_000)));
        }

        @Override
        public Optional<WorkerInfo> worker(StoredRecord record) {
            return Optional.empty();
        }
    }

    private static final class NoListener implements JobsView.Listener, WorkersView.Listener {

        @Override
        public void jobChanged(JobsView.Entry entry) {}

        @Override
        public void leaderRecordRead(JobRecords.Leader leader) {}

        @Override
        public void caughtUp() {}

        @Override
        public void workerRegistered(WorkerInfo info) {}

        @Override
        public void workerUnregistered(WorkerId id) {}
    }

    private final Vertx vertx = Vertx.vertx();
    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final OperatorsView operators = new OperatorsView(new Decoder(), () -> {});
    private final JobsView jobs = new JobsView(new NoListener());
    private final ServiceMetrics metrics = new ServiceMetrics();
    private final CallersServer server =
            new CallersServer(
                    vertx,
                    new FailingProtocol(),
                    store,
                    operators,
                    jobs,
                    new StreamFollower(
                            time, store, Stream.JOBS, jobs, time, new StreamFollower.Pace(600, 80)),
                    new WorkersView(new Decoder(), new NoListener()),
                    time,
                    new NodeSettings.Bounds(5_000, 3_000, 6_000, 10_000, 120_000, 0),
                    metrics,
                    new CallerBudget(CallerLimits.ofSmallestMachine(), time, time, metrics),
                    () -> 0);

    @AfterEach
    void close() {
        vertx.closeAndAwait();
    }

    @Nested
    class UnexpectedError {

        @Test
        void isAnsweredWithAnUnknownOutcome() throws Exception {
            operators.apply(StoredRecord.of("config", new byte[] {1}));
            int port = server.listen(new Endpoint(HOST, 0)).await().atMost(TIMEOUT);
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://" + HOST + ":" + port + "/p/00000000000000a1"))
                            .timeout(TIMEOUT)
                            .GET()
                            .build();
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertEquals(504, response.statusCode());
            assertEquals(0, server.inFlight());
        }
    }

    @Nested
    class TooLongBody {

        /** Guards against waiting for, and reading, a body that is refused in any case. */
        @Test
        void isRefusedBeforeItIsSent() throws Exception {
            operators.apply(StoredRecord.of("config", new byte[] {1}));
            int port = server.listen(new Endpoint(HOST, 0)).await().atMost(TIMEOUT);
            try (Socket socket = new Socket(HOST, port)) {
                socket.setSoTimeout((int) TIMEOUT.toMillis());
                String head =
                        "POST /p/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                                + "Content-Length: 1001\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream()));
                assertTrue(reader.readLine().contains("413"));
            }
        }
    }
}
