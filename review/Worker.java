package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stands in for a worker, as one process: runs tasks under a lease, lists runs and ends, refuses
 * lower fencing tokens. The spec {@code ms=N spread=M} is the run time: at least N, less than N + M, by the
 * task's index.
 *
 * <p>Arguments: id, port, advertised port, port of the store, zone, kind, rack, one-way delay of
 * the network in milliseconds, record file, longest lease in milliseconds.
 */
public final class Worker {

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long REGISTER_RETRY_MILLIS = 300;
    private static final int MAX_ENDS = 500;

    private static final class Run {
        private String task;
        private long number;
        private long startMillis;
        private long endMillis;
    }

    private final String id;
    private final int advertisedPort;
    private final int storePort;
    private final String zone;
    private final String kind;
    private final String rack;
    private final long delayMillis;
    private final Record record;
    private final long maxLeaseMillis;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private long lastEnd;
    private long token;
    private long leaseEndMillis;
    private long sequence;
    private volatile long unhealthyUntilMillis;

    private Worker(String[] args) {
        id = args[0];
        advertisedPort = Integer.parseInt(args[2]);
        storePort = Integer.parseInt(args[3]);
        zone = args[4];
        kind = args[5];
        rack = args[6];
        delayMillis = Long.parseLong(args[7]);
        record = new Record(Path.of(args[8]));
        maxLeaseMillis = Long.parseLong(args[9]);
    }

    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Worker worker = new Worker(args);
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), Integer.parseInt(args[1])),
                        100);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", worker::serve);
        server.start();
        worker.note("up born=" + worker.born);
        Store.daemon(worker::endRuns).start();
        worker.register();
    }

    private void note(String text) {
        record.add("worker " + id + " " + text);
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000 + 1;
    }

    private void register() throws InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        while (true) {
            long pauseMillis = HEARTBEAT_MILLIS;
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", "yedek-ara");
            entry.put("address", "127.0.0.1:" + advertisedPort);
            entry.put("zone", zone);
            entry.put("version", "v1");
            entry.put("slots", 8);
            entry.put("state", "ready");
            entry.put("cold_remaining_ms", 0);
            entry.put("sequence", ++sequence);
            entry.put("born", born);
            entry.put("clock_ms", clock());
            Map<String, Object> capacity = new LinkedHashMap<>();
            capacity.put("cpu", 128_000);
            capacity.put("mem_mb", 524_288);
            capacity.put("gpus", 8);
            entry.put("capacity", capacity);
            entry.put("labels", List.of(kind, rack));
            try {
                HttpRequest request =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://127.0.0.1:" + storePort + "/servers/" + id))
                                .timeout(Duration.ofSeconds(1))
                                .PUT(HttpRequest.BodyPublishers.ofString(Json.write(entry)))
                                .build();
                int status =
                        client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
                if (status != 200) {
                    pauseMillis = REGISTER_RETRY_MILLIS;
                } else if (sequence == 1) {
                    note("registered born=" + born);
                }
            } catch (IOException e) {
                pauseMillis = REGISTER_RETRY_MILLIS;
            }
            Thread.sleep(pauseMillis);
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        String text =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Store.pause(delayMillis);
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/standin/unhealthy/")) {
            long millis = Long.parseLong(path.substring("/standin/unhealthy/".length()));
            note("is unhealthy for " + millis + " ms: answers 503 and does nothing");
            unhealthyUntilMillis = clock() + millis;
            answer(exchange, 200, Map.of());
            return;
        }
        if (clock() < unhealthyUntilMillis) {
            note("answers 503 to " + path + (path.equals("/hold") ? "" : " " + text));
            answer(exchange, 503, Map.of("clock_ms", clock()));
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            answer(exchange, 421, Map.of());
            return;
        }
        Map<String, Object> body = Json.object(text);
        synchronized (this) {
            long given = Json.number(body, "fencing_token", 0);
            if (given < token) {
                note("refuses " + path + " token=" + given + " has=" + token);
                refuse(exchange, "fence");
                return;
            }
            token = given;
        }
        switch (path) {
            case "/run-start":
                start(exchange, body);
                break;
            case "/run-stop":
                stop(exchange, body);
                break;
            case "/hold":
                hold(exchange, body);
                break;
            default:
                answer(exchange, 404, Map.of());
        }
    }

    private synchronized void extendLease(Map<String, Object> body) {
        long deadline = Json.number(body, "deadline_ms", 0);
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadline, clock() + maxLeaseMillis));
    }

    private void start(HttpExchange exchange, Map<String, Object> body) throws IOException {
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        String refusal = null;
        synchronized (this) {
            if (running.containsKey(key(task, number))) {
                extendLease(body);
            } else if (number <= highestEnded.getOrDefault(task, 0L)) {
                extendLease(body);
                refusal = "old";
            } else if (Json.number(body, "deadline_ms", 0) <= clock()) {
                refusal = "late";
            } else {
                extendLease(body);
                Run run = new Run();
                run.task = task;
                run.number = number;
                run.startMillis = clock();
                run.endMillis = clock() + runTime(task, (String) body.get("spec"));
                running.put(key(task, number), run);
                note("begins " + task + " run=" + number + " born=" + born + " token=" + token);
            }
        }
        if (refusal != null) {
            note("refuses start of " + task + " run=" + number + ": " + refusal);
            refuse(exchange, refusal);
        } else {
            answer(exchange, 200, Map.of("clock_ms", clock()));
        }
    }

    private static long runTime(String task, String spec) {
        long millis = 0;
        for (String part : spec.split(" ")) {
            if (part.startsWith("ms=")) {
                millis += Long.parseLong(part.substring(3));
            } else if (part.startsWith("spread=")) {
                long index = Long.parseLong(task.substring(task.lastIndexOf('.') + 1));
                millis += index * 37 % Long.parseLong(part.substring(7));
            }
        }
        return millis;
    }

    private void stop(HttpExchange exchange, Map<String, Object> body) throws IOException {
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        synchronized (this) {
            note("takes stop of " + task + " run=" + number);
            for (Run run : List.copyOf(running.values())) {
                if (run.task.equals(task) && run.number <= number) {
                    end(run, "stopped");
                }
            }
            highestEnded.merge(task, number, Math::max);
        }
        answer(exchange, 200, Map.of("clock_ms", clock()));
    }

    private void hold(HttpExchange exchange, Map<String, Object> body) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            extendLease(body);
            long seen = Json.number(body, "last_seen", 0);
            for (List<Object> end : List.copyOf(ends)) {
                if ((Long) end.get(0) <= seen) {
                    note("forgets end " + end.get(0) + " of " + end.get(1) + " run=" + end.get(2)
                            + " " + end.get(3) + " born=" + born + " last_seen=" + seen);
                    ends.remove(end);
                }
            }
            long untilMillis = clock() + Json.number(body, "wait_ms", 0);
            while (ends.isEmpty() && clock() < untilMillis) {
                try {
                    wait(Math.max(1, untilMillis - clock()));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            answer.put("clock_ms", clock());
            answer.put("born", born);
            List<Object> rows = new ArrayList<>();
            running.forEach(
                    (key, run) ->
                            rows.add(
                                    List.of(
                                            run.task,
                                            run.number,
                                            "",
                                            Math.min(
                                                    99,
                                                    100
                                                            * (clock() - run.startMillis)
                                                            / Math.max(
                                                                    1,
                                                                    run.endMillis
                                                                            - run.startMillis)),
                                            0)));
            answer.put("running", rows);
            List<Object> finished = new ArrayList<>();
            for (List<Object> end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
                finished.add(end);
            }
            answer.put("finished_runs", finished);
            for (List<Object> end : ends) {
                note("lists end " + end.get(0) + " of " + end.get(1) + " run=" + end.get(2) + " "
                        + end.get(3) + " born=" + born);
            }
        }
        answer(exchange, 200, answer);
    }

    private void endRuns() {
        while (true) {
            Store.pause(1);
            synchronized (this) {
                for (Run run : List.copyOf(running.values())) {
                    if (run.endMillis <= clock()) {
                        end(run, "done");
                    } else if (leaseEndMillis <= clock()) {
                        end(run, "lapsed");
                    }
                }
            }
        }
    }

    private static String key(String task, long run) {
        return task + " " + run;
    }

    private void end(Run run, String how) {
        running.remove(key(run.task, run.number));
        highestEnded.merge(run.task, run.number, Math::max);
        ends.add(List.of(++lastEnd, run.task, run.number, how, ""));
        note("ends " + run.task + " run=" + run.number + " " + how + " number=" + lastEnd + " born="
                + born);
        notifyAll();
    }

    private void refuse(HttpExchange exchange, String reason) throws IOException {
        answer(exchange, 409, Map.of("clock_ms", clock(), "reason", reason));
    }

    private void answer(HttpExchange exchange, int status, Map<String, Object> body)
            throws IOException {
        Store.pause(delayMillis);
        try {
            Http.answer(exchange, status, Json.write(body));
        } catch (IOException e) {
            note("couldn't answer " + exchange.getRequestURI() + ": " + e.getMessage());
        }
    }
}
