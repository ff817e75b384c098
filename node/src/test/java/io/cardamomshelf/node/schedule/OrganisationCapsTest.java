package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which cap a running scheduler applies. */
class OrganisationCapsTest extends SchedulingFixture {

    private static final int CAP = 6;
    private static final int TASKS = 40;

    private Process process;
    private int mostRunning;

    @BeforeEach
    void useTheWholeCap() {
        workers.onStart = () -> mostRunning = Math.max(mostRunning, running());
        storeConfigurationAndWorkers("w1", "w2");
        capAccelerators(CAP);
        process = new Process("p");
        awaitLeading(process);
        submit(JOB, TASKS, 1, false);
        advanceUntil(() -> running() == CAP);
    }

    private int running() {
        return workers.running().values().stream().mapToInt(Set::size).sum();
    }

    private void finish(int count) {
        for (int i = 0; i < count; i++) {
            Map.Entry<String, TaskId> next =
                    workers.running().entrySet().stream()
                            .flatMap(
                                    host ->
                                            host.getValue().stream()
                                                    .map(
                                                            task ->
                                                                    Map.entry(
                                                                            host.getKey().value(),
                                                                            task)))
                            .findFirst()
                            .orElseThrow();
            workers.finish(next.getKey(), next.getValue(), RunEnd.DONE);
        }
    }

    @Nested
    class TheCapInForce {

        @Test
        void isTheLastOneWhileTheStoreIsUnreachable() {
            process.links.disconnectStore();
            finish(3);
            time.advance(1_000);
            assertEquals(CAP, running());
            assertEquals(CAP, mostRunning);
        }

        @Test
        void changesWithTheConfiguration() {
            capAccelerators(2);
            time.advance(1_000);
            assertEquals(CAP, running());
            finish(5);
            time.advance(2_000);
            assertEquals(2, running());
            capAccelerators(9);
            advanceUntil(() -> running() == 9);
            assertEquals(9, mostRunning);
        }
    }
}
