package io.cardamomshelf.entry;

import io.cardamomshelf.client.FileException;
import io.cardamomshelf.entry.settings.Settings;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * The binary {@code cardamomshelf-entry}: one entry instance as a process.
 *
 * <p>Use: {@code cardamomshelf-entry --settings entry.yaml}. It prints one line with its ports once
 * it is listening, and shuts down gracefully on SIGTERM. {@code --check} only checks the settings.
 *
 * <p>Exit codes: 0 after a graceful shutdown or a passed check, 1 if it can't listen, 2 if the
 * settings or the options are wrong.
 */
public final class EntryMain {

    private static final int EXIT_CANNOT_LISTEN = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int WORKER_THREADS = 2;

    /** How long closing may take after the announcement and drain times. */
    private static final long STOP_GRACE_MILLIS = 5_000;

    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private EntryMain() {}

    /**
     * Runs the process.
     *
     * @param args the options
     * @throws IOException if the help can't be printed
     */
    public static void main(String[] args) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file =
                parser.accepts("settings", "the settings file").withRequiredArg().required();
        parser.accepts("check", "check the settings and end");
        parser.accepts("help", "print this help").forHelp();
        PrintStream out = System.out;
        PrintStream err = System.err;
        try {
            OptionSet options = parser.parse(args);
            if (options.has("help")) {
                parser.printHelpOn(out);
                return;
            }
            Settings settings = Settings.read(Path.of(options.valueOf(file)));
            if (options.has("check")) {
                out.println("settings ok");
                return;
            }
            run(settings, out, err);
        } catch (OptionException | FileException e) {
            err.println(e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
    }

    private static void run(Settings settings, PrintStream out, PrintStream err) {
        // Logback reads its file when the first logger is created, so the property is set before.
        String logging = "cardamomshelf-entry-" + settings.logging() + ".xml";
        System.setProperty("logback.configurationFile", logging);
        VertxOptions options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(WORKER_THREADS)
                        .setInternalBlockingPoolSize(WORKER_THREADS);
        EntryInstance instance = new EntryInstance(Vertx.vertx(options), settings);
        try {
            EntryInstance.Ports ports = instance.start().await().atMost(START_TIMEOUT);
            out.println(
                    "ready callers="
                            + ports.callers()
                            + " operators="
                            + ports.operators()
                            + " peers="
                            + ports.peers());
        } catch (RuntimeException e) {
            err.println("can't listen: " + e.getMessage());
            System.exit(EXIT_CANNOT_LISTEN);
        }
        Duration timeout =
                Duration.ofMillis(
                        settings.shutdown().announceMillis()
                                + settings.shutdown().drainMillis()
                                + STOP_GRACE_MILLIS);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(instance, timeout)));
    }

    /** Halts with exit code 0, as the JVM would exit with 143 after SIGTERM. */
    private static void stop(EntryInstance instance, Duration timeout) {
        instance.stop().await().atMost(timeout);
        Runtime.getRuntime().halt(0);
    }
}
