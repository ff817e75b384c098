package io.cardamomshelf.standin.platform;

import io.cardamomshelf.standin.platform.TaskWorkerStandin.Profile;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpClientRequest;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Runs the store's stand-in, or some workers' stand-ins, as a process of a soak.
 *
 * <p>Prints a line with {@code ready} first; the workers' process then prints a line for each event
 * of its workers: the time in Unix milliseconds, the event, the worker and its details, separated
 * by tabs. It reads commands for its workers from standard input. The process ends when its
 * standard input closes.
 */
public final class SoakStandinMain {

    /** The host in the workers' entries; each instance resolves it to relays of its own. */
    public static final String RELAY_HOST = "relay.test";

    private static final String LOOPBACK = "127.0.0.1";
    private static final int DATA_CENTRES = 3;
    private static final int WORKERS_PER_RACK = 8;
    private static final long STOP_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_000;

    private SoakStandinMain() {}

    /**
     * Starts the stand-ins.
     *
     * @param args {@code store PORT CALLERS KEEP_MS}, or {@code workers STORE_PORT FIRST COUNT PORT
     *     RELAY_PORT CLOCK_OFFSET_MS}, where the last two ports are those of the worker with the
     *     index 0
     * @throws Exception if standard input fails
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("logback.configurationFile", "cardamomshelf-standin-logback.xml");
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        int[] numbers =
                IntStream.range(1, args.length).map(i -> Integer.parseInt(args[i])).toArray();
        Consumer<String> commands =
                args[0].equals("store") ? startStore(vertx, numbers) : startWorkers(vertx, numbers);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String command = line;
            vertx.runOnContext(() -> commands.accept(command));
        }
        System.exit(0);
    }

    private static Consumer<String> startStore(Vertx vertx, int[] numbers) {
        new StoreStandin(vertx)
                .start(
                        IntStream.range(0, numbers[1]).map(i -> numbers[0] + i).boxed().toList(),
                        numbers[2])
                .await()
                .indefinitely();
        System.out.println("ready store=" + numbers[0]);
        return line -> {};
    }

    private static Consumer<String> startWorkers(Vertx vertx, int[] numbers) {
        HttpClient client = vertx.createHttpClient();
        Map<String, TaskWorkerStandin> workers = new HashMap<>();
        System.out.println("ready first=" + numbers[1]);
        for (int i = numbers[1]; i < numbers[1] + numbers[2]; i++) {
            Profile profile =
                    new Profile(
                            "i-" + i,
                            "dc-" + (i % DATA_CENTRES + 1),
                            "r" + i / WORKERS_PER_RACK,
                            numbers[3] + i,
                            RELAY_HOST,
                            numbers[4] + i,
                            STOP_MILLIS);
            TaskWorkerStandin worker =
                    new TaskWorkerStandin(
                            vertx,
                            (id, entry) -> register(client, numbers[0], id, entry),
                            new EventPrinter(System.out),
                            profile);
            worker.setClockOffset(numbers[5]);
            worker.start().await().indefinitely();
            workers.put(profile.id(), worker);
        }
        return line -> {
            String[] words = line.split(" ");
            TaskWorkerStandin worker = workers.get(words[1]);
            switch (words[0]) {
                case "restart" -> worker.restart(Long.parseLong(words[2]));
                case "pause" -> worker.setPaused(true);
                case "resume" -> worker.setPaused(false);
                case "assemble" -> worker.assemble(words[2], Long.parseLong(words[3]));
                case "break" -> worker.breakUp(words[2], Long.parseLong(words[3]));
                case "delay" -> worker.setCallDelay(Long.parseLong(words[2]));
                case "prompt" -> worker.setCallDelay(0);
                case "unhealthy" -> worker.setUnhealthy(true);
                case "healthy" -> worker.setUnhealthy(false);
                default -> throw new IllegalArgumentException("unknown command: " + line);
            }
        };
    }

    private static void register(HttpClient client, int storePort, String id, JsonObject entry) {
        client.request(HttpMethod.PUT, storePort, LOOPBACK, "/servers/" + id)
                .map(request -> request.setTimeout(TIMEOUT_MILLIS))
                .flatMap((HttpClientRequest request) -> request.send(Buffer.buffer(entry.encode())))
                .subscribe()
                .with(
                        response -> {},
                        failure -> System.err.println("heartbeat of " + id + ": " + failure));
    }
}
