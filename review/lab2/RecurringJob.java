import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One client's job recurs many times, while others hand in small jobs of one task. After the end of
 * the traffic more than four in five of the ends that workers list have to be taken note of.
 */
final class RecurringJob implements Case.Steps {

    private static final int WORKERS = 6;
    private static final String RECURRING = String.format("%016x", 0xc000_0000L);
    private static final int STEPS = 100;
    private static final long INTERVAL_MILLIS = 600;
    private static final long OCCURRENCES = 90;

    /** The occurrences without the trouble: as many as the site's jobs have. */
    private static final long FEW_OCCURRENCES = 8;

    private static final long TRAFFIC_MILLIS = 62_000;
    private static final long PAUSE_MILLIS = 1_500;
    private static final long FINISH_MILLIS = 14_000;

    @Override
    public boolean run(Path repository, Path folder, Journal journal, boolean trouble)
            throws Exception {
        try (Deployment deployment = new Deployment(repository, folder, journal, 3, WORKERS)) {
            long startMillis = journal.millis();
            deployment.submit(0, RECURRING, recurring(trouble ? OCCURRENCES : FEW_OCCURRENCES));
            List<String> accepted = new ArrayList<>();
            for (int i = 0; journal.millis() < startMillis + TRAFFIC_MILLIS; i++) {
                String id = String.format("%016x", 0xd000_0000L + i);
                if (deployment.submit(i % deployment.machines(), id, single()).status() == 200) {
                    accepted.add(id);
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep(FINISH_MILLIS);
            int ends = 0;
            int unacknowledged = 0;
            for (StandInWorker worker : deployment.workers()) {
                ends += worker.listedEnds();
                unacknowledged += worker.unacknowledgedEnds(Deployment.ACK_MILLIS);
            }
            Set<String> done = new HashSet<>();
            deployment.doneTasks().tasks().forEach(task -> done.add(task.substring(0, 16)));
            int shownRunning = 0;
            for (String id : accepted) {
                String state = deployment.state(0, id).body();
                if (done.contains(id) && !state.contains("completed")) {
                    shownRunning++;
                }
            }
            journal.tell(
                    "%d ends listed, %d not taken note of after %d ms; %d starts of tasks that had"
                        + " ended done, %d of them after that end was listed; %d of %d jobs of one"
                        + " task ended done and aren't shown as completed",
                    ends,
                    unacknowledged,
                    Deployment.ACK_MILLIS,
                    deployment.doneTasks().startsAfterEnd(),
                    deployment.doneTasks().startsAfterListedEnd(),
                    shownRunning,
                    accepted.size());
            return unacknowledged * 5 <= ends && deployment.doneTasks().startsAfterListedEnd() == 0;
        }
    }

    private static Map<String, Object> recurring(long occurrences) {
        List<Object> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            steps.add(step(3_400, 100));
        }
        return JsonText.object(
                "spec", "ms=100",
                "phases", steps,
                "repetitions", occurrences,
                "initial_delay_ms", System.currentTimeMillis() + 1_000,
                "interval_ms", INTERVAL_MILLIS);
    }

    private static Map<String, Object> single() {
        return JsonText.object("spec", "ms=500", "phases", List.of(step(5_600, 500)));
    }

    private static Map<String, Object> step(long cpu, long estimateMillis) {
        return JsonText.object(
                "count", 1L, "cpu", cpu, "mem_mb", 100L, "est_runtime_ms", estimateMillis);
    }
}
