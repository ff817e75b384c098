package io.cardamomshelf.cli;

import io.cardamomshelf.client.Json;
import java.io.PrintStream;

/**
 * Prints the results of a subcommand as text or as JSON lines.
 *
 * <p>Immutable; thread-safe if the stream is.
 *
 * @param stream the stream, not null
 * @param isJson whether results are JSON lines
 */
record Output(PrintStream stream, boolean isJson) {

    void print(String line) {
        stream.println(line);
    }

    void printJson(Object value) {
        stream.println(Json.write(value));
    }
}
