package io.cardamomshelf.core.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.Fixtures;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that a continuous stream of other jobs doesn't keep a job from starting. */
class StarvationTest {

    private static final OrganisationId FEW = OrganisationId.of("few");
    private static final OrganisationId MANY = OrganisationId.of("many");
    private static final int WORKERS = 4;
    private static final long STEP_MILLIS = 10_000;
    private static final long RUN_MILLIS = 600_000;
    private static final long END_MILLIS = 4 * 3_600_000;

    /** Simulates a fleet whose waiting jobs need several times its capacity. */
    private static final class Simulation {
        private final CapacityState capacity = new CapacityState();
        private final RunTimeEstimates estimates = new RunTimeEstimates(75);
        private final Dispatcher dispatcher = new Dispatcher(capacity, estimates);
        private final Map<JobId, JobTable.Job> waiting = new LinkedHashMap<>();
        private final Map<JobId, JobTable.Job> running = new LinkedHashMap<>();
        private final Map<JobId, Long> ends = new HashMap<>();
        private int jobs;

        Simulation() {
            for (int index = 0; index < WORKERS; index++) {
                capacity.fleet().put(Fixtures.worker(0, index));
            }
            capacity.reconfigure(
                    Fixtures.configuration(List.of(FEW, MANY), List.of(List.of(), List.of())));
        }

        JobId submit(OrganisationId organisation, int accelerators, double declaredRatio) {
            JobId id = Fixtures.job(jobs++);
            JobSpec template = Fixtures.spec(organisation, accelerators);
            JobSpec spec =
                    new JobSpec(
                            organisation,
                            template.demand(),
                            false,
                            (long) (declaredRatio * RUN_MILLIS),
                            "");
            waiting.put(
                    id,
                    new JobTable.Job(id, spec, InstanceId.of("i"), 1, false, "", Optional.empty()));
            return id;
        }

        void step(long now) {
            ends.entrySet().removeIf(end -> end.getValue() <= now && releaseEnded(end.getKey()));
            for (Dispatcher.Planned planned :
                    dispatcher.round(List.copyOf(waiting.values()), dataCentre -> true, now)) {
                if (planned.decision() instanceof Decision.Place place) {
                    place.victims().forEach(victim -> requeue(victim.job()));
                    running.put(planned.job().id(), waiting.remove(planned.job().id()));
                    ends.put(planned.job().id(), now + RUN_MILLIS);
                }
            }
        }

        private boolean releaseEnded(JobId id) {
            capacity.release(id);
            JobSpec spec = running.remove(id).spec();
            estimates.add(spec.organisation(), spec.estimateMillis(), RUN_MILLIS);
            return true;
        }

        private void requeue(JobId id) {
            ends.remove(id);
            waiting.put(id, running.remove(id));
        }
    }

    @ParameterizedTest(name = "{0} among {1}, declared {2} of the run time")
    @CsvSource({"1,16,1", "1,32,1", "8,1,1", "16,1,1", "32,1,1", "8,1,0.1", "32,1,0.1", "8,4,10"})
    void agedJobStartsWhenRunningJobsEnd(int size, int others, double declaredRatio) {
        Simulation simulation = new Simulation();
        JobId job = null;
        long submitted = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            simulation.submit(MANY, others, declaredRatio);
            simulation.submit(MANY, others, declaredRatio);
            if (now == RUN_MILLIS) {
                job = simulation.submit(FEW, size, declaredRatio);
                submitted = now;
            }
            simulation.step(now);
            if (job != null && simulation.running.containsKey(job)) {
                long waited = now - submitted;
                long limit = JobAges.AGED_MILLIS + RUN_MILLIS + STEP_MILLIS;
                assertTrue(waited <= limit, "waited " + waited + " ms, limit " + limit + " ms");
                return;
            }
        }
        assertTrue(false, "the job never started");
    }
}
