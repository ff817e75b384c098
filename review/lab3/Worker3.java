import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker of the platform. The spec of a task begins with the time that it works, in milliseconds.
 * Tasks of gangs aren't simulated.
 */
final class Worker3 {

    private static final long BEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 10_000;
    private static final long STOP_MILLIS = 300;

    private static final class Run {
        long number;
        long beganMillis;
        long endMillis;
        String how;
        String saved = "";
    }

    interface Listener {
        void started(String worker, String task, long run, long token);

        void ended(String worker, String task, long run, String how);
    }

    private final String id;
    private final String zone;
    private final String rack;
    private final Store3 store;
    private final Record3 record;
    private final Listener listener;
    private final long bornMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<Object> ends = new ArrayList<>();
    private final Map<String, String> names = new HashMap<>();
    private long lastEnd;
    private long acknowledged;
    private long token;
    private long leaseEndMillis;
    private long sequence;
    private int port;
    private int advertisedPort;

    Worker3(String id, String zone, String rack, Store3 store, Record3 record, Listener listener) {
        this.id = id;
        this.zone = zone;
        this.rack = rack;
        this.store = store;
        this.record = record;
        this.listener = listener;
    }

    /** Listens on a free port; {@code advertise} returns the port for its entry. */
    void start(java.util.function.IntUnaryOperator advertise) throws IOException {
        port = Http3.serve(this::handle);
        advertisedPort = advertise.applyAsInt(port);
        Http3.daemon(
                () -> {
                    while (true) {
                        beat();
                        Thread.sleep(BEAT_MILLIS);
                    }
                });
        Http3.daemon(
                () -> {
                    while (true) {
                        tick();
                        Thread.sleep(10);
                    }
                });
    }

    private void beat() {
        store.put(
                "keyed.servers",
                id,
                Json3.write(
                        Json3.map(
                                "service", "rota",
                                "address", "127.0.0.1:" + advertisedPort,
                                "zone", zone,
                                "version", "v1",
                                "slots", 8,
                                "state", "ready",
                                "cold_remaining_ms", 0,
                                "born", bornMillis,
                                "capacity", Json3.map("cpu", 128000, "mem_mb", 524288, "gpus", 8),
                                "labels", List.of("a", rack),
                                "clock_ms", clock(),
                                "sequence", sequence++)));
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000 + 1;
    }

    private synchronized void tick() {
        for (String task : List.copyOf(running.keySet())) {
            Run run = running.get(task);
            if (leaseEndMillis <= clock()) {
                end(task, run, "lapsed");
            } else if (run.endMillis <= clock()) {
                end(task, run, run.how);
            }
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        ends.add(List.of(++lastEnd, task, run.number, how, run.saved));
        record.line(id + ": end " + task + " run " + run.number + " " + how);
        listener.ended(id, task, run.number, how);
        notifyAll();
    }

    private Http3.Response handle(Http3.Request request) throws Exception {
        if (request.path().equals("/health")) {
            return Http3.Response.of(200, "{}");
        }
        Map<String, Object> body = Json3.object(request.text());
        synchronized (this) {
            tick();
            long presented = Json3.number(body, "fencing_token", 0);
            if (presented < token) {
                record.line(id + ": " + request.path() + " with token " + presented + " refused: fence");
                return refusal("fence");
            }
            token = presented;
            if (body.containsKey("deadline_ms")) {
                long until = Math.min(Json3.number(body, "deadline_ms", 0), clock() + MAX_HOLD_MILLIS);
                leaseEndMillis = Math.max(leaseEndMillis, until);
            }
            return switch (request.path()) {
                case "/run-start" -> start(body);
                case "/run-stop" -> stop(body);
                case "/hold" -> hold(body);
                default -> Http3.Response.of(404, "{}");
            };
        }
    }

    private Http3.Response refusal(String reason) {
        return Http3.Response.of(409, Json3.write(Json3.map("clock_ms", clock(), "reason", reason)));
    }

    private Http3.Response accepted() {
        return Http3.Response.of(200, Json3.write(Json3.map("clock_ms", clock())));
    }

    private Http3.Response start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json3.number(body, "run", 0);
        Run current = running.get(task);
        if (current != null && current.number == number) {
            return accepted();
        }
        if (number <= highest.getOrDefault(task, 0L)) {
            return refusal("old");
        }
        if (Json3.number(body, "deadline_ms", 0) <= clock()) {
            return refusal("late");
        }
        highest.put(task, number);
        Run run = new Run();
        run.number = number;
        run.beganMillis = clock();
        run.endMillis = clock() + Long.parseLong(((String) body.get("spec")).split(" ")[0]);
        run.how = "done";
        running.put(task, run);
        record.line(id + ": start " + task + " run " + number + " token " + token);
        listener.started(id, task, number, token);
        return accepted();
    }

    private Http3.Response stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json3.number(body, "run", 0);
        highest.merge(task, number, Math::max);
        Run run = running.get(task);
        record.line(id + ": stop " + task + " run " + number + (run == null ? " (isn't there)" : ""));
        if (run != null && run.number <= number) {
            run.how = "stopped";
            run.endMillis = Math.min(run.endMillis, clock() + STOP_MILLIS);
        }
        return accepted();
    }

    private Http3.Response hold(Map<String, Object> body) throws InterruptedException {
        long seen = Json3.number(body, "last_seen", 0);
        if (seen > acknowledged) {
            acknowledged = seen;
            ends.removeIf(row -> (Long) ((List<?>) row).get(0) <= seen);
        }
        long until = clock() + Math.min(2_000, Json3.number(body, "wait_ms", 0));
        while (ends.isEmpty() && clock() < until) {
            wait(Math.max(1, until - clock()));
        }
        List<Object> rows = new ArrayList<>();
        running.forEach(
                (task, run) -> {
                    long length = Math.max(1, run.endMillis - run.beganMillis);
                    long percent = Math.min(99, 100 * (clock() - run.beganMillis) / length);
                    rows.add(List.of(task, run.number, run.saved, percent, 0));
                });
        return Http3.Response.of(
                200,
                Json3.write(
                        Json3.map(
                                "clock_ms", clock(),
                                "born", bornMillis,
                                "running", rows,
                                "finished_runs", List.copyOf(ends.subList(0, Math.min(500, ends.size()))))));
    }
}
