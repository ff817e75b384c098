package io.cardamomshelf.node.event;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.node.metric.ServiceMetrics;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that the reference pages list exactly the events and metrics of the code. */
class ReferencePagesTest {

    private static List<String> rows(String page, String rowPattern) throws IOException {
        String pattern = rowPattern.replace("|", "\\|");
        return Files.readAllLines(Path.of(page)).stream()
                .filter(line -> line.matches(pattern))
                .toList();
    }

    @Nested
    class Events {

        @Test
        void matchTheReferencePage() throws IOException {
            List<String> pageRows = rows("../docs/PLATFORM-EVENTS.md", "| [0-9].*");
            List<String> codeRows =
                    Stream.of(NodeEvent.values())
                            .map(
                                    event ->
                                            "| %d | `%s` | %s |"
                                                    .formatted(
                                                            event.number(),
                                                            event.name(),
                                                            event.description()))
                            .toList();
            assertEquals(codeRows, pageRows);
        }

        @Test
        void haveDistinctNumbers() {
            long distinct =
                    Arrays.stream(NodeEvent.values()).map(NodeEvent::number).distinct().count();
            assertEquals(NodeEvent.values().length, distinct);
        }
    }

    @Nested
    class Metrics {

        @Test
        void matchTheReferencePage() throws IOException {
            List<String> pageRows = rows("../docs/METRICS.md", "| `.*");
            List<String> codeRows =
                    Stream.of(ServiceMetrics.Name.values())
                            .map(
                                    name ->
                                            "| `%s` | %s |"
                                                    .formatted(
                                                            name.exportedName(),
                                                            name.description()))
                            .toList();
            assertEquals(codeRows, pageRows);
        }
    }
}
