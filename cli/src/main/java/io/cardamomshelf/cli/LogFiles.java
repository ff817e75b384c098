package io.cardamomshelf.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Reads collected log files and merges their events by time. */
final class LogFiles {

    private static final String STANDARD_INPUT = "-";

    private LogFiles() {}

    /**
     * Reads the events of log files.
     *
     * @param names the paths of the files, {@code -} for the standard input, not null
     * @param input the standard input, not null
     * @return all events in time order, never null
     * @throws CliException if a file can't be read or holds no event
     */
    static List<LogLine> read(List<String> names, InputStream input) throws CliException {
        List<LogLine> lines = new ArrayList<>();
        for (String name : names) {
            int before = lines.size();
            try (BufferedReader reader = open(name, input)) {
                String source = name.equals(STANDARD_INPUT) ? name : fileName(name);
                reader.lines()
                        .map(text -> LogLine.parse(source, text))
                        .flatMap(Optional::stream)
                        .forEach(lines::add);
            } catch (IOException | UncheckedIOException e) {
                throw new CliException(
                        ExitCode.WRONG_INPUT, name + ": can't be read: " + e.getMessage());
            }
            if (lines.size() == before) {
                throw new CliException(
                        ExitCode.WRONG_INPUT,
                        name + ": holds no event; expected are JSON lines with 'at' and 'event'");
            }
        }
        lines.sort(Comparator.comparing(LogLine::at));
        return lines;
    }

    private static BufferedReader open(String name, InputStream input) throws IOException {
        return name.equals(STANDARD_INPUT)
                ? new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(name));
    }

    private static String fileName(String name) {
        return String.valueOf(Path.of(name).getFileName());
    }
}
