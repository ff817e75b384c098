package io.cardamomshelf.sessions;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The arrows between modules, and what the core must not touch. */
class ArchitectureTest {

    private static final String ROOT = "io.cardamomshelf.";
    private static final List<String> MODULES =
            List.of(
                    "core",
                    "wire",
                    "client",
                    "node",
                    "platform",
                    "entry",
                    "cli",
                    "standin",
                    "sessions");
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("io.cardamomshelf");

    @Nested
    class Core {

        @Test
        void dependsOnTheJdkOnly() {
            classes()
                    .that()
                    .resideInAPackage(ROOT + "core..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(ROOT + "core..", "java..")
                    .check(CLASSES);
        }

        @Test
        void hasNoInputOutputOrThreads() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.net..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "java.util.concurrent..",
                            "java.time..")
                    .check(CLASSES);
        }

        @Test
        void hasNoClock() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "core..")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .check(CLASSES);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "core, ''",
        "wire, core",
        "client, core",
        "node, core",
        "platform, core node",
        "entry, core wire client",
        "cli, core client",
        "standin, core client"
    })
    void moduleUsesOnlyItsLayers(String module, String layers) {
        List<String> allowed = List.of(layers.split(" "));
        String[] forbidden =
                Stream.concat(MODULES.stream(), Stream.of("bench"))
                        .filter(name -> !name.equals(module) && !allowed.contains(name))
                        .map(name -> ROOT + name + "..")
                        .toArray(String[]::new);
        noClasses()
                .that()
                .resideInAPackage(ROOT + module + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden)
                .check(CLASSES);
    }

    @Nested
    class ThePlatform {

        /** Words that only the platform's wire and settings use. */
        private static final List<String> WIRE_WORDS =
                List.of(
                        "fencing_token",
                        "finished_runs",
                        "log-append",
                        "log-read",
                        "run-start",
                        "keyed.op",
                        "path_prefix",
                        "api_keys",
                        "est_runtime_ms",
                        "X-Expected-Instance",
                        "CARDAMOMSHELF_NODE_FILE",
                        "platform.address");

        @ParameterizedTest
        @ValueSource(strings = {"core", "wire", "client", "node", "entry", "cli"})
        void isNamedInItsOwnFolderOnly(String module) throws IOException {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String text = Files.readString(file);
                    WIRE_WORDS.forEach(
                            word -> assertFalse(text.contains(word), file + " names " + word));
                }
            }
        }
    }

    @Test
    void theProductStartsNoProcess() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + "sessions..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .check(CLASSES);
    }
}
