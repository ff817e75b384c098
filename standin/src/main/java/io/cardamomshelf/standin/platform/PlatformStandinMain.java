package io.cardamomshelf.standin.platform;

import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import java.io.PrintStream;

/**
 * Runs the platform's stand-ins as one process: the store and some workers.
 *
 * <p>Prints {@code ready store=N counts=N} once all listen; {@code counts} serves how many runs
 * were started and how many ran beside another of the same task. It ends when its standard input
 * closes.
 */
public final class PlatformStandinMain {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int WORKERS_PER_RACK = 2;

    private PlatformStandinMain() {}

    /**
     * Starts the stand-ins.
     *
     * @param args the number of workers
     * @throws Exception if standard input fails
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("logback.configurationFile", "cardamomshelf-standin-logback.xml");
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StoreStandin store = new StoreStandin(vertx);
        Overlaps overlaps = new Overlaps();
        int storePort = store.start().await().indefinitely();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            String zone = i % 2 == 0 ? "dc-1" : "dc-2";
            String rack = "r" + (i % 2) + "-" + i / (2 * WORKERS_PER_RACK);
            new TaskWorkerStandin(vertx, store, overlaps, "i-" + i, zone, rack)
                    .start()
                    .await()
                    .indefinitely();
        }
        int countsPort = counts(vertx, overlaps);
        PrintStream out = System.out;
        out.println("ready store=" + storePort + " counts=" + countsPort);
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }

    private static int counts(Vertx vertx, Overlaps overlaps) {
        return vertx.createHttpServer()
                .requestHandler(
                        request ->
                                request.response()
                                        .endAndForget(
                                                new JsonObject()
                                                        .put("starts", overlaps.starts())
                                                        .put("overlaps", overlaps.overlaps())
                                                        .encode()))
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort)
                .await()
                .indefinitely();
    }
}
