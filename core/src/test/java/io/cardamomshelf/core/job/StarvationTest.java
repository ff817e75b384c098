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

/** No endless stream of other jobs keeps a job from running. */
class StarvationTest {

    private static final OrganisationId FEW = OrganisationId.of("few");
    private static final OrganisationId MANY = OrganisationId.of("many");
    private static final int WORKERS = 4;
    private static final long STEP_MILLIS = 10_000;
    private static final long RUN_MILLIS = 600_000;
    private static final long END_MILLIS = 4 * 3_600_000;

    /** A fleet that other jobs would fill several times over. */
    private static final class World {
        private final CapacityState books = new CapacityState();
        private final RunTimeEstimates estimates = new RunTimeEstimates(75);
        private final Dispatcher dispatcher = new Dispatcher(books, estimates);
        private final Map<JobId, JobTable.Job> waiting = new LinkedHashMap<>();
        private final Map<JobId, JobTable.Job> running = new LinkedHashMap<>();
        private final Map<JobId, Long> ends = new HashMap<>();
        private int jobs;

        World() {
            for (int index = 0; index < WORKERS; index++) {
                books.fleet().put(Fixtures.worker(0, index));
            }
            books.reconfigure(
                    Fixtures.configuration(List.of(FEW, MANY), List.of(List.of(), List.of())));
        }

        JobId submit(OrganisationId organisation, int accelerators, double declared) {
            JobId id = Fixtures.job(jobs++);
            JobSpec any = Fixtures.spec(organisation, accelerators);
            JobSpec spec =
                    new JobSpec(
                            organisation, any.demand(), false, (long) (declared * RUN_MILLIS), "");
            waiting.put(
                    id,
                    new JobTable.Job(id, spec, InstanceId.of("i"), 1, false, "", Optional.empty()));
            return id;
        }

        void step(long now) {
            ends.entrySet().removeIf(end -> end.getValue() <= now && isReleased(end.getKey()));
            for (Dispatcher.Planned planned :
                    dispatcher.round(List.copyOf(waiting.values()), site -> true, now)) {
                if (planned.decision() instanceof Decision.Place place) {
                    place.victims().forEach(victim -> stopped(victim.job()));
                    running.put(planned.job().id(), waiting.remove(planned.job().id()));
                    ends.put(planned.job().id(), now + RUN_MILLIS);
                }
            }
        }

        private boolean isReleased(JobId id) {
            books.release(id);
            JobSpec spec = running.remove(id).spec();
            estimates.add(spec.organisation(), spec.estimateMillis(), RUN_MILLIS);
            return true;
        }

        private void stopped(JobId id) {
            ends.remove(id);
            waiting.put(id, running.remove(id));
        }
    }

    @ParameterizedTest(name = "{0} among {1}, declared {2} of the run time")
    @CsvSource({"1,16,1", "1,32,1", "8,1,1", "16,1,1", "32,1,1", "8,1,0.1", "32,1,0.1", "8,4,10"})
    void aJobStartsOnceAgedAsSoonAsWhatRunsEnds(int size, int others, double declared) {
        World world = new World();
        JobId job = null;
        long submitted = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            world.submit(MANY, others, declared);
            world.submit(MANY, others, declared);
            if (now == RUN_MILLIS) {
                job = world.submit(FEW, size, declared);
                submitted = now;
            }
            world.step(now);
            if (job != null && world.running.containsKey(job)) {
                long waited = now - submitted;
                long bound = JobAges.AGED_MILLIS + RUN_MILLIS + STEP_MILLIS;
                assertTrue(waited <= bound, "waited " + waited + " ms of " + bound);
                return;
            }
        }
        assertTrue(false, "never started");
    }
}
