package io.cardamomshelf.client;

import java.nio.file.Path;

/** Thrown for a file that can't be read or is invalid; names the file, line, key and problem. */
public final class FileException extends Exception {

    private static final long serialVersionUID = 1L;

    FileException(Path file, int line, String key, String message) {
        super(
                file
                        + (line > 0 ? ":" + line : "")
                        + ": "
                        + (key.isEmpty() ? "" : key + ": ")
                        + message);
    }
}
