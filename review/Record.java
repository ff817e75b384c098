package lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The record of a case: one line an event, with the time in milliseconds since 1970 first. All
 * processes of a case append to the same file.
 */
public final class Record {

    private final Path file;

    public Record(Path file) {
        this.file = file;
    }

    /** Appends a line. */
    public synchronized void add(String line) {
        try {
            Files.writeString(
                    file,
                    System.currentTimeMillis() + " " + line + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the lines so far. */
    public List<String> lines() {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
