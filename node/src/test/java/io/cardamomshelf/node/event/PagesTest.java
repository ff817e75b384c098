package io.cardamomshelf.node.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
class PagesTest {

    @Nested
    class Events {

        @Test
        void areAllOnThePage() throws IOException {
            String page = Files.readString(Path.of("../docs/PLATFORM-EVENTS.md"));
            for (NodeEvent event : NodeEvent.values()) {
                String row =
                        "| %d | `%s` | %s |"
                                .formatted(event.number(), event.name(), event.meaning());
                assertTrue(page.contains(row), row);
            }
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
            List<String> page =
                    Files.readAllLines(Path.of("../docs/METRICS.md")).stream()
                            .filter(line -> line.startsWith("| `"))
                            .toList();
            List<String> code =
                    Stream.of(ServiceMetrics.Name.values())
                            .map(name -> "| `%s` | %s |".formatted(name.text(), name.meaning()))
                            .toList();
            assertEquals(code, page);
        }
    }
}
