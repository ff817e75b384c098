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

/** A whole session of the operators' command, as a golden file. */
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
                errors();
                lists(local);
                jobs(local);
                dataCentre(local);
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

        private void errors() throws Exception {
            run("help");
            run("frobnicate");
            run("publish");
            files("plans:\n  rotating-savings: {quota: -1, weight: 1, guarantees: []}\n", "{}\n");
            run("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            files(GOOD_PLANS, "grants:\n  nobody: {dataCentres: [], maxRequests: 1}\n");
            run("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            files(GOOD_PLANS.replace("weight", "wieght"), GOOD_GRANTS);
            run("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
        }

        private void lists(LocalDeployment local) throws Exception {
            files(GOOD_PLANS, GOOD_GRANTS);
            run("check", "--plans", "plans.yaml", "--grants", "grants.yaml");
            run("diff", "--plans", "plans.yaml", "--grants", "grants.yaml");
            run("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
            run("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
            local.awaitState(1, "jhb-a", 8);
            run("status");
        }

        private void dataCentre(LocalDeployment local) throws Exception {
            run("data-centre", "out", "jhb-a", "--reason", "power work");
            run("data-centre", "in", "jhb-a");
            run("data-centre", "sideways", "jhb-a");
            run("show");
            run("job", "show", "j-none");
            run("timeline", "--about", "rotating-savings");
            local.log().setMode(LogStandin.Mode.DOWN);
            run("publish", "--plans", "plans.yaml", "--grants", "grants.yaml");
        }

        private void jobs(LocalDeployment local) throws Exception {
            String running = local.submit("entry-1", 8, 300_000).text("job");
            local.awaitJob("entry-1", running, "RUNNING");
            String waiting = local.submit("entry-1", 4, 1_000).text("job");
            Wait.until(
                    "the second job waits",
                    () -> !local.job("entry-1", waiting).text("waitsFor").isEmpty());
            run("job", "list");
            run("explain", waiting);
            // Not recorded: the answer may show the job before or after the cancellation is folded.
            local.send("DELETE", local.callers("entry-1") + "/v1/jobs/" + running, null);
            local.awaitJob("entry-1", waiting, "ENDED");
            run("explain", running);
            run("explain", "j-none");
            run("explain");
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

        private void files(String plans, String grants) throws Exception {
            Files.writeString(folder.resolve("plans.yaml"), plans);
            Files.writeString(folder.resolve("grants.yaml"), grants);
        }

        private void run(String... words) {
            List<String> args = new ArrayList<>();
            for (String word : words) {
                args.add(word.endsWith(".yaml") ? folder.resolve(word).toString() : word);
            }
            args.add("--settings");
            args.add(settings.toString());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
            int code = CliMain.run(args.toArray(new String[0]), out, out);
            transcript.append("$ cardamomshelf ").append(String.join(" ", words)).append('\n');
            String printed = bytes.toString(StandardCharsets.UTF_8);
            transcript.append(printed.replace(folder.toString(), "FOLDER"));
            transcript.append("exit ").append(code).append("\n\n");
        }
    }
}
