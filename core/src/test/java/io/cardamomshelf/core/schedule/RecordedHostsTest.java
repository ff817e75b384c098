package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskJob;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which of several possible hosts a job gets whose intent is stored for some of them. */
class RecordedHostsTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Nested
    class UrgentJob {

        /** Other hosts would need a stored intent first, which takes a call to the store. */
        @Test
        void startsAtOnceOnThePreemptedWorkerThoughAnotherOneBecameFree() {
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            Order.Start older = fixture.submit(1, 2, step(1, 52_000, 1_000, 8)).startAll().get(0);
            fixture.advanceClock(2_000);
            Order.Start newer = fixture.submit(2, 2, step(1, 52_000, 1_000, 8)).startAll().get(0);
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 1_000, 1_000, 8).build()), 0, 0, 0);
            TaskJob urgent =
                    new TaskJob(
                            SchedulerFixture.job(3),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(0),
                            fixture.now().wallMillis(),
                            request);
            fixture.state.addJob(urgent, Optional.empty());
            Order.Stop stop = fixture.decideStops().get(0);
            assertEquals(newer.worker(), stop.worker());
            fixture.state.takeChangedProgress();
            fixture.state.confirmProgressStored(urgent.id());
            fixture.reportEnd(newer, RunEnd.STOPPED).reportEnd(older, RunEnd.DONE);
            List<Order.Start> starts =
                    fixture.decideStarts().stream()
                            .filter(start -> start.task().job().equals(urgent.id()))
                            .toList();
            assertEquals(1, starts.size());
            assertEquals(newer.worker(), starts.get(0).worker());
        }
    }
}
