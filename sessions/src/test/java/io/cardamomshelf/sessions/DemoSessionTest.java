package io.cardamomshelf.sessions;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.scrubbers.RegExScrubber;
import org.approvaltests.scrubbers.Scrubbers;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the transcript of the demo, run with separate processes, with a golden file. */
class DemoSessionTest {

    @Nested
    class WholeSession {

        @Test
        void isAsApproved(@TempDir Path folder) throws SessionException {
            StringBuilder transcript = new StringBuilder();
            Deployment deployment = Deployment.start(folder);
            try (deployment) {
                new DemoSession(deployment, line -> transcript.append(line).append('\n')).run();
            }
            Approvals.verify(transcript, new Options(scrubber()));
        }

        private org.approvaltests.core.Scrubber scrubber() {
            return Scrubbers.scrubAll(
                    new RegExScrubber("\\b\\d{13}\\.\\d+\\b", "TIME"),
                    new RegExScrubber("(?<=entry-\\d)\\.[0-9a-f]{16}", ".RUN"),
                    new RegExScrubber("\\bj-[0-9a-f]{16}\\b", "JOB"),
                    new RegExScrubber("\\be-[0-9a-f-]{36}\\b", "EDIT"));
        }
    }
}
