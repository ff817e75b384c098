package io.cardamomshelf.standin;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Worker;
import io.vertx.mutiny.core.Vertx;
import java.io.PrintStream;

/**
 * Runs one stand-in as a process: {@code log}, {@code list}, or {@code worker ID DATA-CENTRE RACK}.
 *
 * <p>Prints {@code ready port=N} once it listens. Ends when its standard input closes, so that no
 * stand-in outlives the process that started it.
 */
public final class StandinMain {

    private static final int RETENTION = 100_000;
    private static final int APPENDS_PER_SECOND = 500;
    private static final int ACCELERATORS = 8;
    private static final int CORES = 130;
    private static final int MEMORY_MB = 500_000;

    private StandinMain() {}

    /**
     * Starts the stand-in.
     *
     * @param args the role and, for a worker, its name, data centre and rack
     * @throws Exception if standard input fails
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("logback.configurationFile", "cardamomshelf-standin-logback.xml");
        Vertx vertx = Vertx.vertx();
        int port = standin(vertx, args).start(0).await().indefinitely();
        PrintStream out = System.out;
        out.println("ready port=" + port);
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }

    private static Standin standin(Vertx vertx, String[] args) {
        return switch (args[0]) {
            case "log" -> new LogStandin(vertx, RETENTION, APPENDS_PER_SECOND);
            case "list" -> new ListStandin(vertx);
            case "worker" ->
                    new WorkerStandin(
                            vertx,
                            new Worker(
                                    WorkerId.of(args[1]),
                                    DataCentreId.of(args[2]),
                                    args[3],
                                    ACCELERATORS,
                                    CORES,
                                    MEMORY_MB));
            default -> throw new IllegalArgumentException("no such stand-in: " + args[0]);
        };
    }
}
