import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker. The spec {@code ms=N} of a job is the time that each task takes, in milliseconds. It
 * guards fencing tokens and its lease as the pages say, writes its entry every heartbeat.
 */
final class StandInWorker {

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long CHECK_MILLIS = 20;
    private static final long MAX_LEASE_MILLIS = 10_000;
    private static final int LISTED_ENDS = 500;
    private static final long STOP_MILLIS = 100;

    /** The begin of a task, with its time in the record. */
    record Begin(String task, long millis) {

        String job() {
            return jobOf(task);
        }
    }

    private static final class Run {
        private long number;
        private long beginsMillis;
        private long workMillis;
        private long endsMillis;
        private String how;
    }

    private final String id;
    private final String service;
    private final String rack;
    private final StandInStore store;
    private final Journal journal;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private final List<Begin> begun = new ArrayList<>();
    private long lastEnd;
    private long token;
    private long leaseEndMillis;
    private long sequence;
    private long lastHeartbeat;

    StandInWorker(
            String id,
            String service,
            String rack,
            long seenToken,
            StandInStore store,
            Journal journal,
            ExecutorService threads,
            ScheduledExecutorService timer)
            throws IOException {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.token = seenToken;
        this.store = store;
        this.journal = journal;
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
        timer.scheduleAtFixedRate(this::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    String id() {
        return id;
    }

    private List<Object> row(String task, Run run) {
        long percent = Math.min(99, 100 * (clock() - run.beginsMillis) / run.workMillis);
        return List.of(task, run.number, "", percent, 0L);
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    /** Returns the begins here, in this order. */
    synchronized List<Begin> begun() {
        return List.copyOf(begun);
    }

    private long clock() {
        return System.currentTimeMillis() - born + 1;
    }

    private synchronized void check() {
        if (sequence == 0 || clock() - lastHeartbeat >= HEARTBEAT_MILLIS) {
            lastHeartbeat = clock();
            int port = server.getAddress().getPort();
            store.put(
                    "keyed.servers",
                    id,
                    JsonText.write(entry(service, port, rack, born, sequence++)));
        }
        for (Iterator<Map.Entry<String, Run>> i = running.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Run> entry = i.next();
            Run run = entry.getValue();
            boolean lapsed = leaseEndMillis <= clock();
            if (lapsed || run.endsMillis <= clock()) {
                i.remove();
                String how = lapsed ? "lapsed" : run.how;
                ends.add(List.of(++lastEnd, entry.getKey(), run.number, how, ""));
                journal.write("%s end %s run %d %s", id, entry.getKey(), run.number, how);
                notifyAll();
            }
        }
    }

    /** Makes an entry for the workers' list. */
    private static Map<String, Object> entry(
            String service, int port, String rack, long born, long sequence) {
        return JsonText.object(
                "service",
                service,
                "address",
                "127.0.0.1:" + port,
                "zone",
                "marmara-a",
                "version",
                "v1",
                "slots",
                8L,
                "state",
                "ready",
                "cold_remaining_ms",
                0L,
                "capacity",
                JsonText.object("cpu", 64_000L, "mem_mb", 262_144L, "gpus", 8L),
                "labels",
                List.of("a", rack),
                "born",
                born,
                "sequence",
                sequence);
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        try {
            Map<String, Object> answer;
            synchronized (this) {
                answer =
                        expected != null && !expected.equals(id)
                                ? JsonText.object("status", 421L)
                                : answer(
                                        exchange.getRequestURI().getPath(),
                                        JsonText.parseObject(body));
                answer.put("clock_ms", clock());
            }
            int status = ((Long) answer.remove("status")).intValue();
            StandInStore.respond(
                    exchange, status, JsonText.write(answer).getBytes(StandardCharsets.UTF_8));
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private Map<String, Object> answer(String path, Map<String, Object> call)
            throws InterruptedException {
        long presented = number(call, "fencing_token");
        if (presented < token) {
            journal.write(
                    "%s refuses %s with token %d, it has seen %d", id, path, presented, token);
            return JsonText.object("status", 409L, "reason", "fence");
        }
        token = presented;
        leaseEndMillis =
                Math.max(
                        leaseEndMillis,
                        Math.min(number(call, "deadline_ms"), clock() + MAX_LEASE_MILLIS));
        return switch (path) {
            case "/run-start" -> start(call);
            case "/run-stop" -> stop(call);
            case "/hold" -> hold(call);
            default -> JsonText.object("status", 400L);
        };
    }

    private static long number(Map<String, Object> call, String field) {
        return (Long) call.getOrDefault(field, 0L);
    }

    private Map<String, Object> start(Map<String, Object> call) {
        String task = (String) call.get("task");
        long number = number(call, "run");
        Run current = running.get(task);
        if (current != null && current.number == number) {
            return JsonText.object("status", 200L);
        } else if (number <= highestRuns.getOrDefault(task, 0L)) {
            return JsonText.object("status", 409L, "reason", "old");
        } else if (number(call, "deadline_ms") <= clock()) {
            return JsonText.object("status", 409L, "reason", "late");
        }
        highestRuns.put(task, number);
        Run run = new Run();
        run.number = number;
        run.how = "done";
        run.beginsMillis = clock();
        run.workMillis = Long.parseLong(((String) call.get("spec")).substring("ms=".length()));
        run.endsMillis = run.beginsMillis + run.workMillis;
        running.put(task, run);
        begun.add(new Begin(task, journal.millis()));
        journal.write("%s begin %s run %d", id, task, number);
        return JsonText.object("status", 200L);
    }

    private Map<String, Object> stop(Map<String, Object> call) {
        String task = (String) call.get("task");
        long number = number(call, "run");
        highestRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) {
            run.how = "stopped";
            run.endsMillis = Math.min(run.endsMillis, clock() + STOP_MILLIS);
            journal.write("%s stop %s run %d", id, task, run.number);
        }
        return JsonText.object("status", 200L);
    }

    private Map<String, Object> hold(Map<String, Object> call) throws InterruptedException {
        long lastSeen = number(call, "last_seen");
        ends.removeIf(row -> (Long) row.get(0) <= lastSeen);
        long until = clock() + number(call, "wait_ms");
        while (ends.isEmpty() && clock() < until) {
            wait(until - clock());
        }
        List<Object> rows = new ArrayList<>();
        running.forEach((task, run) -> rows.add(row(task, run)));
        List<List<Object>> listed = ends.stream().limit(LISTED_ENDS).toList();
        return JsonText.object(
                "status", 200L, "born", born, "running", rows, "finished_runs", listed);
    }
}
