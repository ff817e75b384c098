import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the project's own processes, started as the deploy file says,
 * with a stand-in of the store and of the workers in this process.
 *
 * <p>The settings and the configuration have the form and the bounds of the site fener-ortak.
 */
final class Deployment implements AutoCloseable {

    static final long CONTACT_MILLIS = 4_000;
    static final long ACK_MILLIS = 5_000;
    static final long CANCEL_MILLIS = 3_000;
    static final long VISIBLE_MILLIS = 3_000;
    static final String KEY = "key-of-the-case";
    static final String HOST = "depot.example";
    static final String PREFIX = "/work/";

    /** The prefix of the queue of the least urgent jobs. */
    static final String BULK_PREFIX = "/bulk/";

    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 30_000;
    private static final long READY_TIMEOUT_MILLIS = 25_000;
    private static final String[] BOUNDS = {
        "revoke_ms=5000",
        "visible_ms=3000",
        "grace_s=6",
        "max_hold_ms=10000",
        "status_s=120",
        "contact_ms=4000",
        "ack_ms=5000",
        "config_apply_ms=3000",
        "stop_timeout_ms=400",
        "cancel_ms=3000",
        "gang_timeout_ms=3000",
        "lease_ms=3000"
    };

    /** An answer; status 0 if there was none. */
    record Answer(int status, String body) {}

    private final Path repository;
    private final Path folder;
    private final Journal journal;
    private final ExecutorService threads = Executors.newCachedThreadPool(Deployment::daemon);
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(2, Deployment::daemon);
    private final StandInStore store;
    private final List<StandInWorker> workers = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<int[]> ports = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    Deployment(Path repository, Path folder, Journal journal, int machines, int workerCount)
            throws IOException, InterruptedException {
        this.repository = repository;
        this.folder = folder;
        this.journal = journal;
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        store = new StandInStore(machines, threads);
        store.put("keyed.op", "config", configuration());
        for (int i = 0; i < workerCount; i++) {
            workers.add(
                    new StandInWorker(
                            "i-" + i,
                            "pool",
                            "r1-" + (i / 8 + 1),
                            0,
                            store,
                            journal,
                            threads,
                            timer));
        }
        for (int i = 0; i < machines; i++) {
            ports.add(freePorts(3));
            startProcess(i);
        }
        long deadline = journal.millis() + READY_TIMEOUT_MILLIS;
        for (int i = 0; i < machines; i++) {
            while (ready(i) != 200) {
                if (journal.millis() > deadline) {
                    throw new IOException("machine " + i + " isn't ready in time");
                }
                Thread.sleep(100);
            }
        }
        journal.write("all machines are ready");
        Thread.sleep(CONTACT_MILLIS + 1_000);
    }

    List<StandInWorker> workers() {
        return workers;
    }

    int machines() {
        return ports.size();
    }

    Answer submit(int machine, String id, Map<String, Object> job) {
        return call("POST", machine, PREFIX + id, JsonText.write(job));
    }

    /** Submits a job to the queue of the least urgent ones. */
    Answer submitBulk(int machine, String id, Map<String, Object> job) {
        return call("POST", machine, BULK_PREFIX + id, JsonText.write(job));
    }

    Answer cancel(int machine, String id) {
        return call("DELETE", machine, PREFIX + id, "");
    }

    Answer state(int machine, String id) {
        return call("GET", machine, PREFIX + id, "");
    }

    Answer bulkState(int machine, String id) {
        return call("GET", machine, BULK_PREFIX + id, "");
    }

    private Answer call(String method, int machine, String path, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + ports.get(machine)[0] + path))
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .header("Host", HOST)
                        .header("Content-Type", "application/json")
                        .header("Api-Key", KEY)
                        .header("X-Deadline-Ms", "3000")
                        .timeout(Duration.ofMillis(3_000))
                        .build();
        Answer answer;
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        journal.write(
                "machine %d: %s %s -> %d %s",
                machine, method, path, answer.status(), answer.body());
        return answer;
    }

    private int ready(int machine) throws InterruptedException {
        try {
            URI uri = URI.create("http://127.0.0.1:" + ports.get(machine)[1] + "/ready");
            HttpRequest request =
                    HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(1_000)).build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static Map<String, Object> route(String name, String prefix, long priority) {
        return JsonText.object(
                "name",
                name,
                "host",
                HOST,
                "path_prefix",
                prefix,
                "type",
                "non_idempotent",
                "timeout_ms",
                3_000L,
                "target_duration_ms",
                1_500L,
                "priority",
                priority,
                "service",
                "pool",
                "max_attempts",
                3L,
                "slack_factor",
                3.0,
                "public",
                false);
    }

    private static String configuration() {
        return JsonText.write(
                JsonText.object(
                        "version", 1L,
                        "routes",
                                List.of(
                                        route("r-work", PREFIX, 1),
                                        route("r-bulk", BULK_PREFIX, 2)),
                        "services",
                                List.of(JsonText.object("name", "pool", "enforce_capacity", false)),
                        "limits", JsonText.object("max_body_bytes", 262_144L),
                        "tenants",
                                List.of(
                                        JsonText.object(
                                                "name", "house",
                                                "api_keys", List.of(KEY),
                                                "guaranteed", JsonText.object("gpus", 8L)))));
    }

    /**
     * Adds a server of a service that the configuration doesn't name to the workers' list. It takes
     * its orders from somebody else, whose fencing token it has seen.
     */
    StandInWorker addForeignServer(String id, long seenToken) throws IOException {
        journal.write("another writer's entry: %s", id);
        return new StandInWorker(
                id, "another-pool", "r9-1", seenToken, store, journal, threads, timer);
    }

    private void startProcess(int machine) throws IOException {
        String name = "frontend-marmara-a-" + (machine + 1);
        int[] own = ports.get(machine);
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "node_name=" + name,
                                "role=entry",
                                "machine_class=frontend",
                                "serves=frontend",
                                "ip=127.0.0.1",
                                "zone=marmara-a",
                                "region=marmara",
                                "zones.marmara-a=marmara",
                                "listen.frontend=127.0.0.1:" + own[0],
                                "listen.ready_address=127.0.0.1:" + own[1],
                                "internal_ports=" + own[2] + "," + own[2],
                                "bootstrap=true",
                                "limits.cpu_share=0.75",
                                "limits.cores=1",
                                "limits.memory_mb=430",
                                "control_mode=invocation",
                                "platform.address=127.0.0.1:" + store.port(machine),
                                "platform.form=log",
                                "platform.record_bytes=" + StandInStore.RECORD_BYTES,
                                "platform.call_bytes=" + StandInStore.CALL_BYTES));
        for (String bound : BOUNDS) {
            lines.add("bounds." + bound);
        }
        Path settings = folder.resolve(name + ".conf");
        Files.write(settings, lines);
        ProcessBuilder builder = new ProcessBuilder(runCommand().split(" "));
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CARDAMOMSHELF_NODE_FILE", settings.toString());
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        builder.redirectError(folder.resolve(name + ".err").toFile());
        processes.add(builder.start());
    }

    /** Returns the command of the role that carries the traffic. */
    private String runCommand() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        return run.group(1);
    }

    /** Finds free ports below those that the system gives to outgoing connections. */
    private static int[] freePorts(int count) {
        Set<Integer> found = new LinkedHashSet<>();
        while (found.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                found.add(socket.getLocalPort());
            } catch (IOException e) {
                // The port is taken; another one is tried.
            }
        }
        return found.stream().mapToInt(Integer::intValue).toArray();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private void kill() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws InterruptedException {
        kill();
        for (Process process : processes) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
