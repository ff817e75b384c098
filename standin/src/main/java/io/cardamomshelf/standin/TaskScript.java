package io.cardamomshelf.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;

/**
 * What a stand-in worker makes of a task's payload: how long it runs.
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
