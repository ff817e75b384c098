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
 * @param dataCentre its data centre, not null
 * @param region the data centre's region, not null
 * @param callers the address for callers, not null
 * @param operators the operators' listener, not null
 * @param peers the address for other entries, not null
 * @param platform the addresses of the platform, not null
 * @param limits limits for callers and resources, defaults if missing
 * @param shutdown the times of a graceful shutdown, defaults if missing
 * @param logging the log format, {@code text} or {@code json}, {@code text} if missing
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
     * @throws FileException if the file is invalid; it names file, line, key and allowed values
     */
    public static Settings read(Path file) throws FileException {
        return StrictYaml.read(file, Settings.class);
    }

    /**
     * The operators' listener.
     *
     * @param listen the address for operators, a free loopback port by default
     * @param token the token that operators send, 8 to 256 characters; never logged
     */
    public record Operators(String listen, String token) {

        private static final String DEFAULT_LISTEN = "127.0.0.1:0";
        private static final int MIN_TOKEN_LENGTH = 8;
        private static final int MAX_TOKEN_LENGTH = 256;

        /**
         * Creates the settings.
         *
         * @throws IllegalArgumentException if a value is not allowed
         */
        public Operators {
            listen = listen == null ? DEFAULT_LISTEN : listen;
            Endpoint.parse(listen);
            Checks.notNull("token", token);
            Checks.range("token length", token.length(), MIN_TOKEN_LENGTH, MAX_TOKEN_LENGTH);
        }

        @Override
        public String toString() {
            return "Operators[listen=" + listen + "]";
        }
    }

    /**
     * The addresses of the platform.
     *
     * @param log the address of the append-only log, not null
     * @param list the address of the list of instances, not null
     */
    public record Platform(String log, String list) {

        /**
         * Creates the settings.
         *
         * @throws IllegalArgumentException if a value is missing or not an endpoint
         */
        public Platform {
            Endpoint.parse(Checks.notNull("log", log));
            Endpoint.parse(Checks.notNull("list", list));
        }
    }
}
