package io.cardamomshelf.standin.platform;

import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Runs the platform's stand-ins as one process: the store and some workers.
 *
 * <p>Prints {@code ready store=N counts=N} once all listen. The port {@code counts} serves the
 * number of started runs and of those that overlapped another run of the same task. The process
 * ends when its standard input closes.
 */
public final class PlatformStandinMain {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int OK = 200;
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
        Map<String, TaskWorkerStandin> workers = new HashMap<>();
        int storePort = store.start().await().indefinitely();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            String dataCentre = i % 2 == 0 ? "dc-1" : "dc-2";
            String rack = "r" + (i % 2) + "-" + i / (2 * WORKERS_PER_RACK);
            TaskWorkerStandin worker =
                    new TaskWorkerStandin(
                            vertx,
                            store::registerWorker,
                            counter,
                            TaskWorkerStandin.Profile.of("i-" + i, dataCentre, rack));
            worker.start().await().indefinitely();
            workers.put("i-" + i, worker);
        }
        int countsPort = startControlServer(vertx, counter, workers);
        PrintStream out = System.out;
        out.println("ready store=" + storePort + " counts=" + countsPort);
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }

    /**
     * Starts the server of the counts. {@code PUT /restart/ID}, {@code /unhealthy/ID} and {@code
     * /healthy/ID} change a worker.
     */
    private static int startControlServer(
            Vertx vertx, RunCounter counter, Map<String, TaskWorkerStandin> workers) {
        Router router = Router.router(vertx);
        change(router, "restart", workers, TaskWorkerStandin::restart);
        change(router, "unhealthy", workers, worker -> worker.setUnhealthy(true));
        change(router, "healthy", workers, worker -> worker.setUnhealthy(false));
        router.get().handler(context -> StoreStandin.answer(context, OK, counts(counter)));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort)
                .await()
                .indefinitely();
    }

    private static void change(
            Router router,
            String name,
            Map<String, TaskWorkerStandin> workers,
            Consumer<TaskWorkerStandin> change) {
        router.put("/" + name + "/:id")
                .handler(
                        context -> {
                            change.accept(workers.get(context.pathParam("id")));
                            StoreStandin.answer(context, OK, new JsonObject());
                        });
    }

    private static JsonObject counts(RunCounter counter) {
        return new JsonObject()
                .put("starts", counter.starts())
                .put("overlaps", counter.overlaps())
                .put("running", counter.running());
    }
}
