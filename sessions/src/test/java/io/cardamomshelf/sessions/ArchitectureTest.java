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

/**
 * Checks the dependencies between modules, and that the core uses the JDK only, without I/O,
 * threads or a clock.
 */
class ArchitectureTest {

    private static final String ROOT_PACKAGE = "io.cardamomshelf.";
    private static final List<String> MODULES =
            List.of(
                    "core",
                    "http",
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
                    .resideInAPackage(ROOT_PACKAGE + "core..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(ROOT_PACKAGE + "core..", "java..")
                    .check(CLASSES);
        }

        @Test
        void hasNoInputOutputOrThreads() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT_PACKAGE + "core..")
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
                    .resideInAPackage(ROOT_PACKAGE + "core..")
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
        "http, ''",
        "wire, core",
        "client, core http",
        "node, core",
        "platform, core http node",
        "entry, core wire client",
        "cli, core client",
        "standin, core client"
    })
    void moduleDependsOnAllowedModulesOnly(String module, String allowedModules) {
        List<String> allowed = List.of(allowedModules.split(" "));
        String[] forbidden =
                Stream.concat(MODULES.stream(), Stream.of("bench"))
                        .filter(name -> !name.equals(module) && !allowed.contains(name))
                        .map(name -> ROOT_PACKAGE + name + "..")
                        .toArray(String[]::new);
        noClasses()
                .that()
                .resideInAPackage(ROOT_PACKAGE + module + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden)
                .check(CLASSES);
    }

    @Nested
    class PlatformTerms {

        /** Terms of the platform's protocol and settings, used in the platform modules only. */
        private static final List<String> TERMS =
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
        @ValueSource(strings = {"core", "http", "wire", "client", "node", "entry", "cli"})
        void doNotAppearInModule(String module) throws IOException {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String text = Files.readString(file);
                    TERMS.forEach(
                            term -> assertFalse(text.contains(term), file + " contains " + term));
                }
            }
        }
    }

    @Test
    void noModuleButSessionsStartsProcesses() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT_PACKAGE + "sessions..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .check(CLASSES);
    }
}
