package io.cardamomshelf.client;

import java.nio.file.Path;

/** Says what is wrong with a file: the file, the line, the key and what is allowed. */
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
