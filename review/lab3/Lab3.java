import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment on loopback: a store, workers and processes of the project. */
final class Lab3 implements Worker3.Listener {

    static final String KEY = "d4a3hwrr6x73d3zji9n7";
    static final String PREFIX = "/lohu930/";

    /** A case is given up after this time, in milliseconds. */
    private static final long MAX_MILLIS = 112_000;

    /** A start that a worker carried out. */
    record Start(long atMillis, String worker, String task, long run, long token) {}

    /** An end of a run on a worker. */
    record End(long atMillis, String worker, String task, long run, String how) {}

    final Record3 record;
    final Store3 store;
    final int storePort;
    final Path folder;
    final List<Node3> nodes = new ArrayList<>();
    final Map<String, Proxy3> storeProxies = new LinkedHashMap<>();
    /** The relays before the workers, by worker. */
    final Map<String, Proxy3> workerProxies = new ConcurrentHashMap<>();
    final List<Start> starts = new CopyOnWriteArrayList<>();
    final List<End> ends = new CopyOnWriteArrayList<>();

    Lab3(Path recordFile) throws IOException {
        record = new Record3(recordFile);
        store = new Store3(record);
        storePort = store.start();
        folder = Files.createTempDirectory("review3");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node3::end)));
    }

    void configure(int version) {
        store.put(
                "keyed.op",
                "config",
                Json3.write(
                        Json3.map(
                                "version", version,
                                "routes",
                                List.of(
                                        Json3.map(
                                                "name", "r-ce7ejsm",
                                                "host", "jobs.example",
                                                "path_prefix", PREFIX,
                                                "type", "non_idempotent",
                                                "timeout_ms", 3000,
                                                "target_duration_ms", 1500,
                                                "priority", 1,
                                                "service", "rota",
                                                "max_attempts", 3,
                                                "slack_factor", 3.0,
                                                "public", false,
                                                "allowed_regions", List.of())),
                                "services",
                                List.of(
                                        Json3.map(
                                                "name", "rota",
                                                "health_path", "/health",
                                                "max_conns", 64,
                                                "protocol", "h1",
                                                "enforce_capacity", false,
                                                "standby", false)),
                                "limits",
                                Json3.map(
                                        "max_header_bytes", 16384,
                                        "max_body_bytes", 262144,
                                        "header_timeout_ms", 3000,
                                        "idle_timeout_ms", 15000),
                                "tenants",
                                List.of(
                                        Json3.map(
                                                "name", "kaje80",
                                                "api_keys", List.of(KEY),
                                                "priority", 1,
                                                "guaranteed", Json3.map("gpus", 48),
                                                "allowed_regions", List.of())))));
    }

    /** Starts workers, each behind a relay of its own. */
    void startWorkers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String id = "i-" + i;
            new Worker3(id, i % 2 == 0 ? "jhb-a" : "pta-b", "r1-" + i / 8, store, record, this)
                    .start(
                            port -> {
                                Proxy3 proxy = new Proxy3(port);
                                workerProxies.put(id, proxy);
                                try {
                                    return proxy.start();
                                } catch (IOException e) {
                                    throw new java.io.UncheckedIOException(e);
                                }
                            });
        }
    }

    /** Starts processes of the project, each with a relay of its own to the store. */
    void startNodes(int count) throws IOException {
        String[] zones = {"jhb-a", "pta-b", "cpt-a"};
        for (int i = 0; i < count; i++) {
            String zone = zones[i % zones.length];
            String name = "frontend-" + zone + "-" + (i / zones.length + 1);
            Proxy3 proxy = new Proxy3(storePort);
            storeProxies.put(name, proxy);
            nodes.add(Node3.start(folder, name, zone, proxy.start()));
            record.line(name + " started");
        }
    }

    /** Waits until all processes are ready and one of them schedules; returns that one. */
    Node3 awaitLeader() throws Exception {
        for (int i = 0; i < 300; i++) {
            if (nodes.stream().allMatch(Node3::isReady)) {
                for (Node3 node : nodes) {
                    if (node.logged("LEADERSHIP_WON")) {
                        record.line(node.name + " leads");
                        return node;
                    }
                }
            }
            Thread.sleep(100);
        }
        throw new CannotRun("no process leads");
    }

    Http3.Response submit(Node3 node, String id, String body) {
        return call(node, "POST", id, body, 3_000);
    }

    String state(Node3 node, String id) {
        Http3.Response response = call(node, "GET", id, "", 3_000);
        return response.status() == 200
                ? (String) Json3.object(response.text()).get("state")
                : String.valueOf(response.status());
    }

    Http3.Response call(Node3 node, String method, String id, String body, int deadlineMillis) {
        Http3.Response response =
                Http3.call(
                        node.port,
                        method,
                        PREFIX + id,
                        Map.of("Api-Key", KEY, "X-Deadline-Ms", String.valueOf(deadlineMillis)),
                        body,
                        deadlineMillis);
        record.line("client: " + method + " " + id + " at " + node.name + " -> " + response.status() + " " + response.text());
        return response;
    }

    /** A job of one step. */
    static String job(String spec, int tasks, int gpus) {
        return job(spec, List.of(Json3.map("count", tasks, "cpu", 4000, "mem_mb", 1024, "gpus", gpus, "est_runtime_ms", 2000)));
    }

    static String job(String spec, List<Object> steps) {
        return Json3.write(Json3.map("spec", spec, "phases", steps));
    }

    @Override
    public void started(String worker, String task, long run, long token) {
        starts.add(new Start(record.now(), worker, task, run, token));
    }

    @Override
    public void ended(String worker, String task, long run, String how) {
        ends.add(new End(record.now(), worker, task, run, how));
    }

    /** Ends the processes; adds their logs to the record. */
    void close() throws Exception {
        nodes.forEach(Node3::end);
        for (Node3 node : nodes) {
            record.line("log of " + node.name + ":");
            for (String line : node.log()) {
                if (!line.contains("CALL_REFUSED")) {
                    record.line("  " + line);
                }
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** Thrown if a case can't run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Lab3 lab, boolean trouble) throws Exception;
    }

    /** Runs a case in its folder and ends with its exit code. */
    static void main(String folder, Case test) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Http3.daemon(
                () -> {
                    Thread.sleep(MAX_MILLIS);
                    System.out.println("the case took too long");
                    System.exit(2);
                });
        int code = 2;
        try {
            Lab3 lab = new Lab3(Path.of(folder, "record.txt"));
            try {
                lab.record.line(trouble ? "with the disruption" : "without the disruption");
                boolean broken = test.run(lab, trouble);
                lab.record.line(broken ? "BROKEN" : "held");
                code = broken ? 1 : 0;
            } finally {
                lab.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.out.println(code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case couldn't run");
        System.exit(code);
    }
}
