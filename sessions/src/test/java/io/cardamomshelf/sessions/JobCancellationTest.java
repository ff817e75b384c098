package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.standin.LogStandin;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests cancellations of jobs that the entry has accepted but not read back from the log. */
class JobCancellationTest {

    @Nested
    class BeforeTheAcceptanceIsStored {

        /** Longer than an entry waits for the answer to an append. */
        private static final long APPEND_DELAY_MILLIS = 5_000;

        private static final Pattern JOB_ID = Pattern.compile("j-[0-9a-f]+");

        /** Guards against a job that runs though its caller was told that there is none. */
        @Test
        void isCarriedOut() throws Exception {
            try (LocalDeployment local = new LocalDeployment()) {
                local.addWorker("w1", "jhb-a");
                local.addEntry("entry-1", "jhb-a");
                local.publish(8, List.of(), "jhb-a");
                local.awaitReady();
                local.awaitOffsetAndAccelerators(1, "jhb-a", 8);
                local.log().setMode(LogStandin.Mode.SLOW, APPEND_DELAY_MILLIS);
                String detail = local.submit("entry-1", 8, 300_000).text("detail");
                Matcher job = JOB_ID.matcher(detail);
                assertTrue(job.find(), detail);
                local.log().setMode(LogStandin.Mode.UP);
                assertEquals(404, local.cancel("entry-1", job.group()).status());
                local.awaitJob("entry-1", job.group(), "ENDED");
                assertEquals("CANCELLED", local.job("entry-1", job.group()).text("result"));
            }
        }
    }

    @Nested
    class RightAfterTheAcceptance {

        /** Longer than an entry's read of the log may wait. */
        private static final long TAIL_DELAY_MILLIS = 5_000;

        /** Guards against the answer that the job is unknown, after which it would run. */
        @Test
        void isCarriedOut() throws Exception {
            try (LocalDeployment local = new LocalDeployment()) {
                local.addWorker("w1", "jhb-a");
                local.addEntry("entry-1", "jhb-a");
                local.publish(8, List.of(), "jhb-a");
                local.awaitReady();
                local.awaitOffsetAndAccelerators(1, "jhb-a", 8);
                local.log().setMode(LogStandin.Mode.LATE_TAILS, TAIL_DELAY_MILLIS);
                String job = local.submit("entry-1", 8, 300_000).text("job");
                assertEquals(202, local.cancel("entry-1", job).status());
                local.awaitJob("entry-1", job, "ENDED");
            }
        }
    }
}
