package lab;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment for one case: the store in this process, workers and processes of the system
 * as processes of their own, all on loopback. Everything that was started is ended at the exit.
 *
 * <p>The system property {@code repository} is the repository's root, {@code record} the record
 * file. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
public final class Lab {

    /** Thrown if the case can't be judged. */
    public static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public CannotRun(String message) {
            super(message);
        }
    }

    /** What a case does with the lab; returns whether the rule was broken. */
    public interface Case {
        boolean run(Lab lab) throws Exception;
    }

    /** An answer to a client. */
    public record Reply(int status, String body) {}

    public static final String KEY = "key-of-the-circle";
    private static final String HOST = "jobs.example";
    private static final int STEP_MILLIS = 20;
    private static final int LOWEST_PORT = 12_000;
    private static final int PORT_RANGE = 18_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final SecureRandom PORTS = new SecureRandom();

    /** A case that isn't judged by then can't be, in milliseconds. */
    private static final long MAX_RUN_MILLIS = 112_000;

    /** The place of the port in a worker's command. */
    private static final int WORKER_PORT = 10;

    private final Path repository = Path.of(System.getProperty("repository"));
    private final Path folder;
    private final Record record = new Record(Path.of(System.getProperty("record")));
    private final Store store;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, int[]> entryPorts = new LinkedHashMap<>();
    private final Map<String, List<String>> workerCommands = new LinkedHashMap<>();
    private final Map<String, Proxy> proxies = new LinkedHashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private long requests;

    private Lab() throws IOException {
        folder = Files.createTempDirectory("review");
        store = new Store(record);
    }

    /** Runs a case and exits. */
    public static void main(Case theCase) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        int code = 2;
        Lab lab = null;
        try {
            Files.deleteIfExists(Path.of(System.getProperty("record")));
            lab = new Lab();
            Lab started = lab;
            Runtime.getRuntime().addShutdownHook(new Thread(started::close));
            Store.daemon(
                            () -> {
                                Store.pause(MAX_RUN_MILLIS);
                                started.note("RESULT the case couldn't run: it took too long");
                                System.exit(2);
                            })
                    .start();
            boolean broken = theCase.run(lab);
            lab.note(broken ? "RESULT the rule was broken" : "RESULT the rule held");
            code = broken ? 1 : 0;
        } catch (Exception e) {
            if (lab != null) {
                lab.note("RESULT the case couldn't run: " + e);
            }
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Whether the disruption is to be made. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    public void note(String line) {
        record.add(line);
        System.out.println(line);
    }

    public Store store() {
        return store;
    }

    public Proxy proxy(String worker) {
        return proxies.get(worker);
    }

    public List<String> lines() {
        return record.lines();
    }

    /** Returns the lines that contain all these texts. */
    public List<String> lines(String... texts) {
        List<String> result = new ArrayList<>();
        for (String line : record.lines()) {
            boolean matches = true;
            for (String text : texts) {
                matches &= line.contains(text);
            }
            if (matches) {
                result.add(line);
            }
        }
        return result;
    }

    public static void sleep(long millis) {
        Store.pause(millis);
    }

    /** Waits for a condition; returns whether it came true in time. */
    public static boolean await(long millis, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Store.pause(STEP_MILLIS);
        }
        return condition.getAsBoolean();
    }

    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new CannotRun(message);
        }
    }

    // Workers.

    /** Starts a worker behind a proxy of its own. */
    public void startWorker(String id, String zone, String kind, String rack, long delayMillis)
            throws IOException {
        int port = freePort();
        Proxy proxy = new Proxy(port);
        proxies.put(id, proxy);
        List<String> command =
                List.of(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx64m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lab.Worker",
                        id,
                        String.valueOf(port),
                        String.valueOf(proxy.port()),
                        String.valueOf(store.port()),
                        zone,
                        kind,
                        rack,
                        String.valueOf(delayMillis),
                        System.getProperty("record"),
                        "10000");
        workerCommands.put(id, command);
        restartWorker(id);
    }

    /** Starts a worker's process, again under its identifier and address. */
    public void restartWorker(String id) throws IOException {
        note("start worker " + id);
        ProcessBuilder builder = new ProcessBuilder(workerCommands.get(id));
        builder.redirectErrorStream(true).redirectOutput(log(id));
        processes.put(id, builder.start());
    }

    /** Makes a worker answer all calls with 503, without doing anything, for some time. */
    public void makeUnhealthy(String id, long millis) throws IOException {
        get(
                "http://127.0.0.1:"
                        + workerCommands.get(id).get(WORKER_PORT)
                        + "/standin/unhealthy/"
                        + millis);
    }

    // Processes of the system.

    /** Starts a process of the system with the command of the deploy file. */
    public void startEntry(String name, String zone) throws IOException {
        int[] ports = entryPorts.get(name);
        if (ports == null) {
            ports = new int[] {freePort(), freePort(), freePort(), freePort()};
            entryPorts.put(name, ports);
        }
        Path settings = folder.resolve(name + ".conf");
        Files.writeString(settings, settings(name, zone, ports));
        String run = null;
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CARDAMOMSHELF_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log(name));
        note("start process " + name);
        processes.put(name, builder.start());
    }

    private String settings(String name, String zone, int[] ports) {
        String ip = "127.0.0.1:";
        return String.join(
                "\n",
                "node_name=" + name,
                "role=entry",
                "machine_class=frontend",
                "serves=frontend",
                "ip=127.0.0.1",
                "zone=" + zone,
                "region=" + (zone.equals("ege-a") ? "ege" : "marmara"),
                "zones.marmara-a=marmara",
                "zones.ege-a=ege",
                "zones.marmara-b=marmara",
                "listen.frontend=" + ip + ports[0],
                "listen.ready_address=" + ip + ports[1],
                "listen.control=" + ip + ports[2],
                "internal_ports=" + ports[3] + "," + ports[3],
                "seeds=",
                "bootstrap=true",
                "in_tolerance=false",
                "limits.cpu_share=0.75",
                "limits.cores=1",
                "limits.memory_mb=430",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "limits.disk_mb=0",
                "discovery=platform",
                "entry=vip",
                "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,"
                        + "upkeep,sharing",
                "fault_tolerance.machines=2",
                "fault_tolerance.zones=1",
                "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3",
                "bounds.reuse_after_s=2",
                "bounds.contact_ms=4000",
                "bounds.ack_ms=5000",
                "bounds.catch_up_s=4",
                "bounds.drain_ms=3000",
                "bounds.grace_s=6",
                "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=3000",
                "bounds.rollback_slack_ms=250",
                "bounds.max_skew_ms=6000",
                "bounds.strict_revoke=true",
                "bounds.revoke_ms=5000",
                "bounds.evacuate_ms=5000",
                "bounds.recovery_s=12",
                "bounds.max_hold_ms=10000",
                "bounds.stop_timeout_ms=400",
                "bounds.gang_timeout_ms=3000",
                "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000",
                "bounds.early_ms=250",
                "bounds.finish_s=14",
                "bounds.status_s=120",
                "bounds.spread_factor=3",
                "bounds.checkpoint_interval_s=2",
                "bounds.restore_ms=600",
                "bounds.fencing_enabled=true",
                "bounds.lease_ms=3000",
                "control_mode=invocation",
                "platform.address=" + ip + store.port(),
                "platform.form=log",
                "platform.writes_per_s=600",
                "platform.reads_per_s=2000",
                "platform.parts=24",
                "platform.keep_s=300",
                "");
    }

    /** Publishes a configuration with the queues {@code urgent} (priority 0) and {@code low}. */
    public void configure(long version) {
        String queue =
                "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%s/\",\"service\":\"yedek-ara\","
                        + "\"type\":\"non_idempotent\",\"timeout_ms\":3000,"
                        + "\"target_duration_ms\":3000,\"max_attempts\":3,\"priority\":%d,"
                        + "\"slack_factor\":3.0}";
        store.operator(
                "config",
                "{\"version\":"
                        + version
                        + ",\"routes\":["
                        + String.format(queue, "urgent", HOST, "urgent", 0)
                        + ","
                        + String.format(queue, "low", HOST, "low", 2)
                        + "],\"services\":[{\"name\":\"yedek-ara\",\"enforce_capacity\":false}],"
                        + "\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"circle\","
                        + "\"api_keys\":[\""
                        + KEY
                        + "\"],\"guaranteed\":{\"gpus\":8}}]}");
    }

    /** Waits until the process is ready. */
    public void awaitReady(String name) {
        require(
                await(
                        20_000,
                        () -> {
                            try {
                                return get("http://127.0.0.1:" + entryPorts.get(name)[1] + "/ready")
                                        == 200;
                            } catch (IOException e) {
                                return false;
                            }
                        }),
                name + " isn't ready");
    }

    /** Returns the name of the process that was elected last, by the processes' logs. */
    public String leader() throws IOException {
        String leader = null;
        String best = "";
        for (String name : entryPorts.keySet()) {
            for (String line : Files.readAllLines(log(name).toPath())) {
                if (line.contains("LEADERSHIP_WON") && line.compareTo(best) > 0) {
                    best = line;
                    leader = name;
                }
            }
        }
        return leader;
    }

    /** Returns the lines of a process's log that contain a text. */
    public List<String> log(String name, String text) throws IOException {
        List<String> result = new ArrayList<>();
        for (String line : Files.readAllLines(log(name).toPath())) {
            if (line.contains(text)) {
                result.add(line);
            }
        }
        return result;
    }

    private int get(String url) throws IOException {
        try {
            return client.send(
                            HttpRequest.newBuilder(URI.create(url))
                                    .timeout(Duration.ofSeconds(1))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a client's call; status 0 stands for no answer. */
    public Reply call(String name, String method, String path, String body) {
        return call(name, method, path, body, KEY);
    }

    /** Sends a client's call with a key; status 0 stands for no answer. */
    public Reply call(String name, String method, String path, String body, String key) {
        long number = ++requests;
        note("client " + number + " to " + name + ": " + method + " " + path
                + (body == null ? "" : " " + body));
        Reply reply;
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.0.1:" + entryPorts.get(name)[0] + path))
                            .header("Host", HOST)
                            .header("Api-Key", key)
                            .header("Content-Type", "application/json")
                            .header("X-Deadline-Ms", "3000")
                            .timeout(Duration.ofSeconds(3))
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            reply = new Reply(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        note("client " + number + " gets " + reply.status() + " " + reply.body());
        return reply;
    }

    /** Hands a job in, up to five times as a client does, and requires that it is accepted. */
    public void submit(String name, String path, String body) {
        Reply reply = new Reply(0, "");
        for (int attempt = 1; attempt <= 5 && reply.status() != 200; attempt++) {
            if (attempt > 1) {
                Store.pause(1_000);
            }
            reply = call(name, "POST", path, body);
        }
        require(reply.status() == 200, "the job isn't accepted: " + reply);
    }

    /** Waits until a job is shown in a state. */
    public boolean awaitState(String name, String path, String state, long millis) {
        return await(
                millis,
                () -> {
                    Store.pause(180);
                    return call(name, "GET", path, null).body().contains(state);
                });
    }

    /** Kills a process at once. */
    public void kill(String name) {
        note("kill " + name);
        Process process = processes.get(name);
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a signal to a process, as STOP, CONT or TERM. */
    public void signal(String name, String signal) throws IOException {
        note("signal " + signal + " to " + name);
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(name).pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private File log(String name) {
        return folder.resolve(name + ".log").toFile();
    }

    /** Finds a free port below the range from which the system takes ports of connections. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int port = LOWEST_PORT + PORTS.nextInt(PORT_RANGE);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
        throw new IOException("no free port");
    }

    private void close() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        if ("1".equals(System.getenv("KEEP_LOGS"))) {
            System.out.println("logs in " + folder);
            return;
        }
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
