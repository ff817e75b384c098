package io.cardamomshelf.entry.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.client.FileException;
import io.cardamomshelf.client.StrictYaml;
import io.cardamomshelf.core.event.EventType;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that settings are read and validated, and that the pages list all settings and events. */
class SettingsTest {

    private static final Path FILE = Path.of("entry.yaml");
    private static final String VALID =
            """
            instance: entry-1
            dataCentre: jhb-a
            region: gauteng
            callers: 127.0.0.1:8080
            operators: {token: long-enough}
            peers: 127.0.0.1:8081
            platform:
              log: 127.0.0.1:9000
              list: 127.0.0.1:9001
            limits:
              maxBodyBytes: 2048
            """;

    private static String errorMessage(String from, String to) {
        String text = VALID.replace(from, to);
        return assertThrows(FileException.class, () -> StrictYaml.parse(FILE, text, Settings.class))
                .getMessage();
    }

    @Nested
    class Reading {

        @Test
        void keepsGivenValuesAndAppliesDefaults() throws FileException {
            Settings settings = StrictYaml.parse(FILE, VALID, Settings.class);
            assertEquals(2_048, settings.limits().maxBodyBytes());
            assertEquals(10_000, settings.limits().defaultDeadlineMillis());
            assertEquals("text", settings.logging());
        }

        @Test
        void toStringOmitsToken() throws FileException {
            Settings settings = StrictYaml.parse(FILE, VALID, Settings.class);
            assertFalse(settings.toString().contains("long-enough"));
        }
    }

    @Nested
    class InvalidFile {

        @Test
        void outOfRangeValueIsReportedWithFileLineKeyAndBounds() {
            assertEquals(
                    "entry.yaml:11: limits.maxBodyBytes: 5 is out of range;"
                            + " allowed are 1024 to 16777216",
                    errorMessage("2048", "5"));
        }

        @Test
        void unknownKeyIsReportedWithAllowedKeys() {
            assertEquals(
                    "entry.yaml:8: platform.lgo: is unknown; allowed are log, list",
                    errorMessage("  log:", "  lgo:"));
        }

        @Test
        void missingKeyIsReported() {
            String message = errorMessage("region: gauteng\n", "");
            assertTrue(message.contains("region: is missing"), message);
        }

        @Test
        void repeatedKeyIsReportedWithLine() {
            String message = errorMessage("region: gauteng", "region: gauteng\nregion: x");
            assertTrue(message.startsWith("entry.yaml:4: "), message);
        }

        @Test
        void wrongTypeIsReportedWithKeyAndAllowedType() {
            assertEquals(
                    "entry.yaml:11: limits.maxBodyBytes: has the wrong type; allowed is Integer",
                    errorMessage("2048", "many"));
        }
    }

    @Nested
    class DocumentationPages {

        @Test
        void listEverySetting() throws IOException {
            String page = Files.readString(Path.of("../docs/SETTINGS.md"));
            check(page, "", Settings.class);
        }

        private void check(String page, String prefix, Class<?> record) {
            for (RecordComponent component : record.getRecordComponents()) {
                String key = prefix + component.getName();
                if (component.getType().isRecord()
                        && component.getType().getPackage().equals(record.getPackage())) {
                    check(page, key + ".", component.getType());
                } else {
                    assertTrue(page.contains("| `" + key + "` |"), key + " is not on the page");
                }
            }
        }

        @Test
        void listExactlyAllEvents() throws IOException {
            String page = Files.readString(Path.of("../docs/EVENTS.md"));
            StringBuilder expected = new StringBuilder();
            for (EventType type : EventType.values()) {
                expected.append("| ")
                        .append(type.number())
                        .append(" | `")
                        .append(type.name())
                        .append("` | ")
                        .append(type.meaning())
                        .append(" |\n");
            }
            assertTrue(page.endsWith(expected.toString()), "the page should end with\n" + expected);
        }
    }

    @Property(tries = 500, seed = "45")
    void corruptedTextIsReadOrRejectedWithFileName(@ForAll long seed) {
        Random random = new Random(seed);
        char[] text = VALID.toCharArray();
        for (int change = 0; change <= random.nextInt(4); change++) {
            text[random.nextInt(text.length)] = (char) (32 + random.nextInt(95));
        }
        try {
            StrictYaml.parse(FILE, new String(text), Settings.class);
        } catch (FileException e) {
            assertTrue(e.getMessage().startsWith("entry.yaml"), e.getMessage());
        }
    }
}
