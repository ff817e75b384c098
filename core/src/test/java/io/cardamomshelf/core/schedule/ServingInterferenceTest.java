package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.job;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests what is learnt of serving tasks, which have no progress, from their tail latency, with one
 * serving task on each of six workers.
 */
class ServingInterferenceTest {

    private static final int WORKERS = 6;
    private static final int SERVING_JOB = 1;
    private static final int OTHER_PERCENT = 10;
    private static final int UP_PERCENT = 100;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Map<String, List<Order.Start>> runs = new HashMap<>();

    @BeforeEach
    void startServingTasks() {
        for (int i = 1; i <= WORKERS; i++) {
            fixture.addIdleWorker("w" + i, "r1");
            runs.put("w" + i, new ArrayList<>());
        }
        start(SERVING_JOB, 0);
    }

    /** Starts one task on each worker. */
    private void start(int number, int priority) {
        fixture.submit(
                number, priority, step(WORKERS, 8_000, 32_000, 1).maxPerWorker(1).longRunning());
        startAll();
    }

    private void startAll() {
        fixture.startAll().forEach(start -> runs.get(start.worker().value()).add(start));
    }

    private void cancel(int number) {
        fixture.state.cancel(job(number));
        fixture.decide();
        runs.values().forEach(list -> list.removeIf(s -> s.task().job().equals(job(number))));
        reportAll(OptionalLong.empty());
    }

    private void reportAll(OptionalLong latencyMillis) {
        runs.forEach(
                (name, starts) ->
                        fixture.report(
                                name,
                                starts.stream()
                                        .map(start -> running(start, latencyMillis))
                                        .toArray(WorkerLists.Running[]::new)));
        fixture.decide();
    }

    private static WorkerLists.Running running(Order.Start start, OptionalLong latencyMillis) {
        boolean serving = start.task().job().equals(job(SERVING_JOB));
        return new WorkerLists.Running(
                start.task(),
                start.run(),
                "",
                serving ? UP_PERCENT : OTHER_PERCENT,
                serving ? latencyMillis : OptionalLong.empty());
    }

    private void advanceSeconds(int seconds, OptionalLong latencyMillis) {
        for (int i = 0; i < seconds; i++) {
            fixture.advanceClock(1_000);
            reportAll(latencyMillis);
        }
    }

    private void runBesideOthers(OptionalLong alone, OptionalLong beside) {
        advanceSeconds(6, alone);
        start(2, 1);
        advanceSeconds(6, beside);
        cancel(2);
        advanceSeconds(6, alone);
    }

    @Nested
    class ServingTasks {

        /** Guards against serving tasks whose latency isn't taken into account. */
        @Test
        void areSlowedDownByTasksBesideWhichTheirLatencyRises() {
            runBesideOthers(OptionalLong.of(40), OptionalLong.of(70));
            List<InterferingPair> pairs = fixture.state.observations().takeNewInterferingPairs();
            assertEquals(1, pairs.size());
            assertEquals("q0/4096m/16384MB/1", pairs.get(0).slowed());
            assertEquals("q1/4096m/16384MB/1", pairs.get(0).slowing());
            assertEquals(75, pairs.get(0).slowdownPercent());
        }

        /** Guards against a verdict on tasks beside which nothing changes. */
        @Test
        void arentSlowedDownAtAnEqualLatency() {
            runBesideOthers(OptionalLong.of(40), OptionalLong.of(42));
            assertEquals(0, fixture.state.observations().interferingPairs());
        }

        /** Guards against a worker that is slower after a restart than before. */
        @Test
        void arentComparedWithThoseOfAnEarlierIncarnation() {
            advanceSeconds(6, OptionalLong.of(40));
            runs.forEach(
                    (name, starts) -> {
                        starts.clear();
                        fixture.restartWorker(name);
                    });
            startAll();
            start(2, 1);
            runs.values().forEach(starts -> assertEquals(2, starts.size()));
            advanceSeconds(6, OptionalLong.of(70));
            assertEquals(0, fixture.state.observations().interferingPairs());
        }

        /** Guards against a missing latency that is taken for a low one. */
        @Test
        void arentComparedWithoutALatency() {
            runBesideOthers(OptionalLong.of(40), OptionalLong.empty());
            assertEquals(0, fixture.state.observations().interferingPairs());
        }
    }
}
