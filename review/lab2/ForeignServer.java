import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A server of a service that the configuration doesn't name enters itself in the workers' list. It
 * belongs to somebody else, and refuses orders with a lower fencing token than that one's. The jobs
 * of the configured service must run on as before.
 */
final class ForeignServer implements Case.Steps {

    private static final int WORKERS = 6;
    private static final int JOBS = 20;
    private static final long PAUSE_MILLIS = 500;
    private static final long TASK_MILLIS = 1_000;
    private static final long SEEN_TOKEN = 1_000_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_BOUND_MILLIS = 3_000;

    @Override
    public boolean run(Path repository, Path folder, Journal journal, boolean trouble)
            throws Exception {
        try (Deployment deployment = new Deployment(repository, folder, journal, 3, WORKERS)) {
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                if (trouble && i == JOBS / 4) {
                    deployment.addForeignServer("x-1", SEEN_TOKEN);
                }
                String id = String.format("%016x", 0xe000_0000L + i);
                if (deployment.submit(i % deployment.machines(), id, job()).status() == 200) {
                    accepted.add(id);
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            journal.write("end of the traffic");
            Thread.sleep(FINISH_MILLIS);
            Set<String> waiting = notBegun(deployment, accepted);
            Thread.sleep(IDLE_BOUND_MILLIS + 100);
            waiting.retainAll(notBegun(deployment, accepted));
            for (int i = 0; i < accepted.size(); i++) {
                deployment.state(i % deployment.machines(), accepted.get(i));
            }
            journal.tell(
                    "%d of %d accepted jobs haven't begun %d ms after the end of the traffic, with"
                            + " %d idle workers",
                    waiting.size(), accepted.size(), FINISH_MILLIS + IDLE_BOUND_MILLIS, WORKERS);
            return waiting.isEmpty();
        }
    }

    private static Map<String, Object> job() {
        return JsonText.object(
                "spec",
                "ms=" + TASK_MILLIS,
                "phases",
                List.of(
                        JsonText.object(
                                "count", 2L,
                                "cpu", 5_600L,
                                "mem_mb", 20_000L,
                                "gpus", 1L,
                                "est_runtime_ms", TASK_MILLIS)));
    }

    private static Set<String> notBegun(Deployment deployment, List<String> jobs) {
        Set<String> waiting = new HashSet<>(jobs);
        for (StandInWorker worker : deployment.workers()) {
            worker.begun().forEach(begin -> waiting.remove(begin.job()));
        }
        return waiting;
    }
}
