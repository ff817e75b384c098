package io.cardamomshelf.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading collected log files, the sentences drawn from them, and the subcommands on them. */
class LogExplanationTest {

    private static final String JOB_ACCEPTED =
            line("00.100", "JOB_ACCEPTED", 5001, "'job':'aa','offset':7");
    private static final String RUN_ORDERED =
            line("00.150", "RUN_ORDERED", 5101, "'task':'aa.0.0.0','run':3,'worker':'w1'");
    private static final String RUN_ENDED =
            line("02.150", "RUN_ENDED", 5104, "'task':'aa.0.0.0','run':3,'end':'DONE'");
    private static final String JOB_COMPLETED =
            line("09.150", "PROGRESS_STORED", 5105, "'job':'aa','state':'COMPLETED'");
    private static final String STORE_LOST = line("03.000", "STORE_LOST", 2101, "'stream':'JOBS'");
    private static final String OTHER_JOB = line("01.000", "JOB_ACCEPTED", 5001, "'job':'bb'");

    private static String line(String second, String type, int event, String fields) {
        return ("{'at':'2026-04-25T18:46:" + second + "Z','message':'" + type + "','level':'INFO',")
                        .replace('\'', '"')
                + fields.replace('\'', '"')
                + ",\"event\":"
                + event
                + "}";
    }

    private static List<LogLine> read(String... lines) throws CliException {
        String text = String.join("\n", lines);
        return LogFiles.read(
                List.of("-"), new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Nested
    class Lines {

        @Test
        void areSortedByTimeAndFilteredBySubject() throws CliException {
            LogExplanation explanation =
                    LogExplanation.of(
                            "aa",
                            read(JOB_COMPLETED, OTHER_JOB, RUN_ENDED, JOB_ACCEPTED, RUN_ORDERED));
            assertEquals(
                    List.of("JOB_ACCEPTED", "RUN_ORDERED", "RUN_ENDED", "PROGRESS_STORED"),
                    explanation.lines().stream().map(LogLine::type).toList());
        }

        @Test
        void withoutEventNumberAreSkipped() throws CliException {
            String libraryLine =
                    "{\"at\":\"2026-04-25T18:46:00Z\",\"message\":\"x\",\"level\":\"WARN\"}";
            assertEquals(1, read(libraryLine, "not JSON", "{broken", JOB_ACCEPTED).size());
        }
    }

    @Nested
    class Conclusions {

        @Test
        void nameTheLongestGapAndTheContextEventsInIt() throws CliException {
            List<String> conclusions =
                    LogExplanation.of(
                                    "aa",
                                    read(
                                            JOB_ACCEPTED,
                                            RUN_ORDERED,
                                            RUN_ENDED,
                                            STORE_LOST,
                                            JOB_COMPLETED))
                            .conclusions();
            assertEquals(
                    List.of(
                            "It was stored by - at offset 7; shown as COMPLETED after 9.05 s.",
                            "Its longest gap is 7.0 s, from RUN_ENDED to PROGRESS_STORED;"
                                    + " meanwhile: 1 STORE_LOST."),
                    conclusions);
        }

        @Test
        void stateThatARefusedJobWasNotStored() throws CliException {
            String refused =
                    line(
                            "00.100",
                            "CALL_REFUSED",
                            4001,
                            "'method':'POST','path':'/q/aa','status':503,"
                                    + "'reason':'the store is away'");
            assertEquals(
                    List.of(
                            "It was refused with 503: the store is away; it was not stored and"
                                    + " never runs."),
                    LogExplanation.of("aa", read(refused)).conclusions());
        }

        @Test
        void leaveOpenWhetherStoredAfterUnknownOutcomeOrForARead() throws CliException {
            String unknown =
                    line(
                            "00.100",
                            "CALL_REFUSED",
                            4001,
                            "'method':'POST','path':'/aa','status':504");
            String refused =
                    line(
                            "00.200",
                            "CALL_REFUSED",
                            4001,
                            "'method':'POST','path':'/aa','status':503");
            String refusedRead =
                    line(
                            "00.300",
                            "CALL_REFUSED",
                            4001,
                            "'method':'GET','path':'/aa','status':503");
            for (List<LogLine> lines : List.of(read(unknown, refused), read(refusedRead))) {
                assertEquals(
                        List.of("It was refused with 503: no reason logged."),
                        LogExplanation.of("aa", lines).conclusions().subList(0, 1));
            }
        }

        @Test
        void stateOnlyTheStatusAndReasonForAnUnknownOutcome() throws CliException {
            String unknown =
                    line(
                            "00.100",
                            "CALL_REFUSED",
                            4001,
                            "'path':'/q/aa','status':504,'reason':'not known'");
            assertEquals(
                    List.of("It was refused with 504: not known."),
                    LogExplanation.of("aa", read(unknown)).conclusions());
            assertTrue(
                    LogExplanation.of("aa", read(unknown, JOB_ACCEPTED))
                            .conclusions()
                            .get(0)
                            .contains("an answer of 504 was given for it"));
        }
    }

    @Nested
    class TheCommand {

        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final ByteArrayOutputStream err = new ByteArrayOutputStream();

        private int run(String... args) {
            return CliMain.run(args, new PrintStream(out), new PrintStream(err));
        }

        @Test
        void readsFilesWithoutSettings(@TempDir Path folder) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve("n1.log"), JOB_ACCEPTED + "\n" + JOB_COMPLETED);
            assertEquals(0, run("explain", "aa", "--logs", file.toString()));
            assertTrue(
                    out.toString().contains("It was stored by n1.log at offset 7"), out::toString);
        }

        @Test
        void printsJsonLines(@TempDir Path folder) throws IOException {
            Path file =
                    Files.writeString(folder.resolve("n1.log"), JOB_ACCEPTED + "\n" + OTHER_JOB);
            assertEquals(0, run("timeline", "--about", "bb", "--json", "--logs", file.toString()));
            assertTrue(
                    out.toString().startsWith("{\"at\":\"2026-04-25T18:46:01Z\""), out::toString);
            assertEquals(1, out.toString().lines().count());
        }

        @Test
        void reportsAFileWithoutEventsOrThatCantBeRead(@TempDir Path folder) throws IOException {
            Path file = Files.writeString(folder.resolve("empty.log"), "nothing\n");
            assertEquals(2, run("explain", "aa", "--logs", file.toString()));
            assertTrue(err.toString().contains("empty.log: holds no event"), err::toString);
            assertEquals(2, run("explain", "aa", "--logs", folder.resolve("none").toString()));
            assertTrue(err.toString().contains("none: can't be read"), err::toString);
        }

        @Test
        void reportsThatNoEventIsAboutTheSubject(@TempDir Path folder) throws IOException {
            Path file = Files.writeString(folder.resolve("n1.log"), JOB_ACCEPTED);
            assertEquals(7, run("explain", "zz", "--logs", file.toString()));
            assertEquals("the logs have no event about zz\n", err.toString());
        }

        @Test
        void requiresSettingsWithoutLogs() {
            assertEquals(2, run("explain", "aa"));
            assertTrue(err.toString().contains("settings"), err::toString);
        }
    }
}
