package io.cardamomshelf.entry.settings;

import io.cardamomshelf.client.FileException;
import io.cardamomshelf.client.StrictYaml;
import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import java.nio.file.Path;

/**
 * All settings of an entry instance.
 *
 * <p>Use: {@code Settings.read(path)}. Every key is documented in {@code docs/SETTINGS.md}, which a
 * test checks against these records.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the instance's name in the platform's list, not null
 * @param dataCentre where it is, not null
 * @param region the data centre's region, not null
 * @param callers where callers reach it, not null
 * @param operators the operators' listener, not null
 * @param peers where other entries reach it, not null
 * @param platform where the platform is, not null
 * @param limits bounds on what callers may do, defaults if missing
 * @param shutdown how a graceful shutdown goes, defaults if missing
 * @param logging how logs are written, {@code text} or {@code json}, {@code text} if missing
 */
public record Settings(
        String instance,
        DataCentreId dataCentre,
        String region,
        String callers,
        Operators operators,
        String peers,
        Platform platform,
        Limits limits,
        Shutdown shutdown,
        String logging) {

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if a value is missing or not allowed
     */
    public Settings {
        Checks.name("instance", instance);
        Checks.notNull("dataCentre", dataCentre);
        Checks.name("region", region);
        Endpoint.parse(Checks.notNull("callers", callers));
        Checks.notNull("operators", operators);
        Endpoint.parse(Checks.notNull("peers", peers));
        Checks.notNull("platform", platform);
        limits = limits == null ? Limits.DEFAULT : limits;
        shutdown = shutdown == null ? Shutdown.DEFAULT : shutdown;
        logging = logging == null ? "text" : logging;
        if (!logging.equals("text") && !logging.equals("json")) {
            throw new IllegalArgumentException(
                    "logging: '" + logging + "' is unknown; allowed are text and json");
        }
    }

    /**
     * Reads a file.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws FileException if the file is wrong; it names file, line, key and what is allowed
     */
    public static Settings read(Path file) throws FileException {
        return StrictYaml.read(file, Settings.class);
    }

    /**
     * The operators' listener.
     *
     * @param listen where operators reach it, the loopback address by default
     * @param token the token that operators send, 8 to 256 characters; never logged
     */
    public record Operators(String listen, String token) {

        private static final String DEFAULT_LISTEN = "127.0.0.1:0";
        private static final int MIN_TOKEN = 8;
        private static final int MAX_TOKEN = 256;

        /**
         * Creates the settings.
         *
         * @throws IllegalArgumentException if a value is not allowed
         */
        public Operators {
            listen = listen == null ? DEFAULT_LISTEN : listen;
            Endpoint.parse(listen);
            Checks.notNull("token", token);
            Checks.range("token length", token.length(), MIN_TOKEN, MAX_TOKEN);
        }

        @Override
        public String toString() {
            return "Operators[listen=" + listen + "]";
        }
    }

    /**
     * Where the platform is.
     *
     * @param log the append-only log, not null
     * @param list the list of instances, not null
     */
    public record Platform(String log, String list) {

        /**
         * Creates the settings.
         *
         * @throws IllegalArgumentException if a value is missing or no endpoint
         */
        public Platform {
            Endpoint.parse(Checks.notNull("log", log));
            Endpoint.parse(Checks.notNull("list", list));
        }
    }
}
