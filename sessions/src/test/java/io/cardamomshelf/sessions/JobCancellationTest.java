package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.standin.LogStandin;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests cancellations of jobs that the entry has accepted but not read back from the log. */
class JobCancellationTest {

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
