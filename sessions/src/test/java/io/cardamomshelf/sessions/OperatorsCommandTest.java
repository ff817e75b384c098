package io.cardamomshelf.sessions;

import io.cardamomshelf.cli.CliMain;
import io.cardamomshelf.standin.LogStandin;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.scrubbers.RegExScrubber;
import org.approvaltests.scrubbers.Scrubbers;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the output of the operators' command in a whole session with a golden file. */
class OperatorsCommandTest {

    private static final String GOOD_PLANS =
            "plans:\n  rotating-savings: {quota: 32, weight: 1, guarantees: []}\n";
    private static final String GOOD_GRANTS =
            "grants:\n  rotating-savings: {dataCentres: [jhb-a], maxRequests: 60}\n";

    @Nested
    class WholeSession {

        @TempDir private Path folder;
        private final StringBuilder transcript = new StringBuilder();
        private Path settings;

        @Test
        void isAsApproved() throws Exception {
            try (LocalDeployment local = new LocalDeployment()) {
                local.addWorker("w1", "jhb-a");
                local.addEntry("entry-1", "jhb-a");
                local.awaitReady();
                settings = settings(local);
                runInvalidCommands();
                runListCommands(local);
                runJobCommands(local);
                runDataCentreCommands(local);
            }
            Approvals.verify(
                    transcript,
                    new Options(
                            Scrubbers.scrubAll(
                                    new RegExScrubber("127\\.0\\.0\\.1:\\d+", "ENDPOINT"),
                                    new RegExScrubber("(?<=entry-1)\\.[0-9a-f]{16}", ".RUN"),
                                    new RegExScrubber("\\d{13}\\.\\d+", "TIME"),
                                    new RegExScrubber("e-[0-9a-f-]{36}", "EDIT"),
                                    new RegExScrubber("j-[0-9a-f]{16}", number -> "j-" + number),
                                    new RegExScrubber("request [0-9a-f]{16}", "request ID"))));
        }

        private void runInvalidCommands() throws Exception {
            runCommand("help");
            runCommand("frobnicate");
            runCommand("publish");
            writeLists(
                    "plans:\n  rotating-savings: {quota: -1, weight: 1, guarantees: []}\n", "{}\n");
            runCommand("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            writeLists(GOOD_PLANS, "grants:\n  nobody: {dataCentres: [], maxRequests: 1}\n");
            runCommand("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            writeLists(GOOD_PLANS.replace("weight", "wieght"), GOOD_GRANTS);
            runCommand("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
        }

        private void runListCommands(LocalDeployment local) throws Exception {
            writeLists(GOOD_PLANS, GOOD_GRANTS);
            runCommand("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            runCommand("diff", "--plans", "plans.yaml", "--grants", "grants.yaml");
            runCommand("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
            runCommand("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
            local.awaitOffsetAndAccelerators(1, "jhb-a", 8);
            runCommand("status");
        }

        private void runDataCentreCommands(LocalDeployment local) throws Exception {
            runCommand("data-centre", "out", "jhb-a", "--reason", "power work");
            runCommand("data-centre", "in", "jhb-a");
            runCommand("data-centre", "sideways", "jhb-a");
            runCommand("show");
            runCommand("job", "show", "j-none");
            runCommand("timeline", "--about", "rotating-savings");
            local.log().setMode(LogStandin.Mode.DOWN);
            runCommand("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
        }

        private void runJobCommands(LocalDeployment local) throws Exception {
            String running = local.submit("entry-1", 8, 300_000).text("job");
            local.awaitJob("entry-1", running, "RUNNING");
            String waiting = local.submit("entry-1", 4, 1_000).text("job");
            Wait.until(
                    "the second job waits",
                    () -> !local.job("entry-1", waiting).text("waitsFor").isEmpty());
            runCommand("job", "list");
            runCommand("explain", waiting);
            // Not in the transcript: the answer may show the job before or after its cancellation.
            local.send("DELETE", local.callers("entry-1") + "/v1/jobs/" + running, null);
            local.awaitJob("entry-1", waiting, "ENDED");
            runCommand("explain", running);
            runCommand("explain", "j-none");
            runCommand("explain");
        }

        private Path settings(LocalDeployment local) throws Exception {
            return Files.write(
                    folder.resolve("cli.yaml"),
                    List.of(
                            "author: thandi",
                            "log: " + local.logEndpoint(),
                            "entries: [" + local.operators("entry-1") + "]",
                            "callers: " + local.callers("entry-1"),
                            "token: " + Deployment.TOKEN));
        }

        private void writeLists(String plans, String grants) throws Exception {
            Files.writeString(folder.resolve("plans.yaml"), plans);
            Files.writeString(folder.resolve("grants.yaml"), grants);
        }

        private void runCommand(String... arguments) {
            List<String> args = new ArrayList<>();
            for (String argument : arguments) {
                args.add(
                        argument.endsWith(".yaml")
                                ? folder.resolve(argument).toString()
                                : argument);
            }
            args.add("--settings");
            args.add(settings.toString());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
            int exitCode = CliMain.run(args.toArray(new String[0]), out, out);
            transcript.append("$ cardamomshelf ").append(String.join(" ", arguments)).append('\n');
            String printed = bytes.toString(StandardCharsets.UTF_8);
            transcript.append(printed.replace(folder.toString(), "FOLDER"));
            transcript.append("exit ").append(exitCode).append("\n\n");
        }
    }
}
