import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Journal implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        String line =
                String.format("%9.3f  ", millis() / 1_000.0) + String.format(format, arguments);
        out.println(line);
    }

    /** Writes a line to the record and to standard output. */
    void tell(String format, Object... arguments) {
        write(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public void close() {
        out.close();
    }
}
