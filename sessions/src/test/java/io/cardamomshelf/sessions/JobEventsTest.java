package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.cardamomshelf.standin.LogStandin;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the order of a job's events on the time line. */
class JobEventsTest {

    @Nested
    class AcceptanceOfAJob {

        /** Longer than the record takes to be read and the job to be considered. */
        private static final long ANSWER_MILLIS = 1_500;

        /** Guards against a wait or a placement that is shown before the acceptance. */
        @Test
        void comesFirstThoughTheLogAnswersLate() throws Exception {
            try (LocalDeployment local = new LocalDeployment()) {
                local.addWorker("w1", "jhb-a");
                local.addEntry("entry-1", "jhb-a");
                local.publish(8, List.of(), "jhb-a");
                local.awaitReady();
                local.awaitOffsetAndAccelerators(1, "jhb-a", 8);
                String running = local.submit("entry-1", 8, 300_000).text("job");
                local.awaitJob("entry-1", running, "RUNNING");
                local.log().setMode(LogStandin.Mode.LATE_ANSWERS, ANSWER_MILLIS);
                String waiting = local.submit("entry-1", 4, 1_000).text("job");
                Wait.until(
                        "the second job waits",
                        () -> !local.job("entry-1", waiting).text("waitsFor").isEmpty());
                List<String> types = new ArrayList<>();
                for (JsonNode event : local.timeline("entry-1")) {
                    if (event.path("subject").asText().equals(waiting)) {
                        types.add(event.path("type").asText());
                    }
                }
                assertEquals(List.of("JOB_ACCEPTED", "JOB_WAITING"), types);
            }
        }
    }
}
