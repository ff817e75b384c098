import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Some jobs end with a small step that asks for no resources, so that its fields are omitted. The
 * number of workers is even. Each step has to run.
 */
final class StepWithoutDemand implements Case.Steps {

    private static final int WORKERS = 6;
    private static final int JOBS = 10;
    private static final long PAUSE_MILLIS = 800;
    private static final long TASK_MILLIS = 1_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_BOUND_MILLIS = 3_000;

    @Override
    public boolean run(Path repository, Path folder, Journal journal, boolean trouble)
            throws Exception {
        try (Deployment deployment = new Deployment(repository, folder, journal, 3, WORKERS)) {
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0xf000_0000L + i);
                Map<String, Object> job = job(trouble);
                if (i == 0) {
                    journal.write("each job: %s", JsonText.write(job));
                }
                if (deployment.submit(i % deployment.machines(), id, job).status() == 200) {
                    accepted.add(id);
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            journal.write("end of the traffic");
            Thread.sleep(FINISH_MILLIS);
            Set<String> waiting = lastStepNotBegun(deployment, accepted);
            Thread.sleep(IDLE_BOUND_MILLIS + 100);
            waiting.retainAll(lastStepNotBegun(deployment, accepted));
            for (int i = 0; i < accepted.size(); i++) {
                deployment.state(i % deployment.machines(), accepted.get(i));
            }
            journal.tell(
                    "the second step of %d of %d accepted jobs hasn't begun %d ms after the end of"
                            + " the traffic, with %d idle workers",
                    waiting.size(), accepted.size(), FINISH_MILLIS + IDLE_BOUND_MILLIS, WORKERS);
            return waiting.isEmpty();
        }
    }

    private static Map<String, Object> job(boolean withoutDemand) {
        Map<String, Object> first =
                JsonText.object(
                        "count", 2L,
                        "cpu", 5_600L,
                        "mem_mb", 20_000L,
                        "gpus", 1L,
                        "est_runtime_ms", TASK_MILLIS);
        Map<String, Object> last = JsonText.object("count", 1L, "est_runtime_ms", TASK_MILLIS);
        last.put("after", List.of(0L));
        if (!withoutDemand) {
            last.put("cpu", 1L);
        }
        return JsonText.object("spec", "ms=" + TASK_MILLIS, "phases", List.of(first, last));
    }

    private static Set<String> lastStepNotBegun(Deployment deployment, List<String> jobs) {
        Set<String> waiting = new HashSet<>(jobs);
        for (StandInWorker worker : deployment.workers()) {
            for (StandInWorker.Begin begin : worker.begun()) {
                if (begin.task().endsWith(".0.1.0")) {
                    waiting.remove(begin.job());
                }
            }
        }
        return waiting;
    }
}
