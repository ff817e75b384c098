package io.cardamomshelf.standin.platform;

import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import java.io.PrintStream;

/**
 * Runs the platform's stand-ins as one process: the store and some workers.
 *
 * <p>Prints {@code ready store=N counts=N} once all listen. The port {@code counts} serves the
 * number of started runs and of those that overlapped another run of the same task. The process
 * ends when its standard input closes.
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
        RunCounter counter = new RunCounter();
        int storePort = store.start().await().indefinitely();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            String dataCentre = i % 2 == 0 ? "dc-1" : "dc-2";
            String rack = "r" + (i % 2) + "-" + i / (2 * WORKERS_PER_RACK);
            new TaskWorkerStandin(vertx, store, counter, "i-" + i, dataCentre, rack)
                    .start()
                    .await()
                    .indefinitely();
        }
        int countsPort = startCountsServer(vertx, counter);
        PrintStream out = System.out;
        out.println("ready store=" + storePort + " counts=" + countsPort);
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }

    private static int startCountsServer(Vertx vertx, RunCounter counter) {
        return vertx.createHttpServer()
                .requestHandler(
                        request ->
                                request.response()
                                        .endAndForget(
                                                new JsonObject()
                                                        .put("starts", counter.starts())
                                                        .put("overlaps", counter.overlaps())
                                                        .encode()))
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort)
                .await()
                .indefinitely();
    }
}
