package io.cardamomshelf.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;

/**
 * The simulated run of a task, read from its payload; any other payload runs for one second.
 *
 * <p>Immutable and thread-safe.
 *
 * @param runMillis how long the task runs, in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record TaskScript(long runMillis) {

    private static final TaskScript DEFAULT = new TaskScript(1_000);

    static TaskScript parse(String payload) {
        try {
            return Json.read(payload, TaskScript.class);
        } catch (FormatException e) {
            return DEFAULT;
        }
    }
}
