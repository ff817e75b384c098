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

/** The pages for operators list what the code logs and counts. */
class ReferencePagesTest {

    private static List<String> rows(String page, String form) throws IOException {
        String pattern = form.replace("|", "\\|");
        return Files.readAllLines(Path.of(page)).stream()
                .filter(line -> line.matches(pattern))
                .toList();
    }

    @Nested
    class Events {

        @Test
        void areThoseOfThePage() throws IOException {
            List<String> page = rows("../docs/PLATFORM-EVENTS.md", "| [0-9].*");
            List<String> code =
                    Stream.of(NodeEvent.values())
                            .map(
                                    event ->
                                            "| %d | `%s` | %s |"
                                                    .formatted(
                                                            event.number(),
                                                            event.name(),
                                                            event.meaning()))
                            .toList();
            assertEquals(code, page);
        }

        @Test
        void haveNumbersOfTheirOwn() {
            long distinct =
                    Arrays.stream(NodeEvent.values()).map(NodeEvent::number).distinct().count();
            assertEquals(NodeEvent.values().length, distinct);
        }
    }

    @Nested
    class Metrics {

        @Test
        void areThoseOfThePage() throws IOException {
            List<String> page = rows("../docs/METRICS.md", "| `.*");
            List<String> code =
                    Stream.of(ServiceMetrics.Name.values())
                            .map(name -> "| `%s` | %s |".formatted(name.text(), name.meaning()))
                            .toList();
            assertEquals(code, page);
        }
    }
}
