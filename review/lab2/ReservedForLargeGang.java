import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A gang that needs all workers whole waits for one small long task on each of them. Small jobs
 * that come after it have to run on the capacity that is idle.
 */
final class ReservedForLargeGang implements Case.Steps {

    private static final int WORKERS = 6;
    private static final int JOBS = 8;
    private static final long PAUSE_MILLIS = 500;
    private static final long LONG_MILLIS = 60_000;
    private static final long GANG_MILLIS = 5_000;
    private static final long SMALL_MILLIS = 1_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_BOUND_MILLIS = 3_000;

    @Override
    public boolean run(Path repository, Path folder, Journal journal, boolean trouble)
            throws Exception {
        try (Deployment deployment = new Deployment(repository, folder, journal, 3, WORKERS)) {
            Map<String, Object> spread = step(WORKERS, 1, 5_600, LONG_MILLIS);
            spread.put("anti_affinity", 1L);
            deployment.submit(0, "00000000aa000001", job(LONG_MILLIS, spread));
            Thread.sleep(2_000);
            if (trouble) {
                Map<String, Object> gang = step(WORKERS, 8, 26_000, GANG_MILLIS);
                gang.put("gang", true);
                deployment.submit(0, "00000000aa000002", job(GANG_MILLIS, gang));
                Thread.sleep(1_000);
            }
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0xab00_0000L + i);
                Map<String, Object> small = step(1, 1, 5_600, 0);
                small.remove("est_runtime_ms");
                Deployment.Answer answer =
                        deployment.submitBulk(
                                i % deployment.machines(), id, job(SMALL_MILLIS, small));
                if (answer.status() == 200) {
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
                deployment.bulkState(i % deployment.machines(), accepted.get(i));
            }
            journal.tell(
                    "%d of %d small jobs haven't begun %d ms after the end of the traffic, with 6"
                            + " of 48 accelerators in use",
                    waiting.size(), accepted.size(), FINISH_MILLIS + IDLE_BOUND_MILLIS);
            return waiting.isEmpty();
        }
    }

    private static Map<String, Object> job(long millis, Map<String, Object> step) {
        return JsonText.object("spec", "ms=" + millis, "phases", List.of(step));
    }

    private static Map<String, Object> step(
            long count, long accelerators, long cpu, long estimateMillis) {
        return JsonText.object(
                "count", count,
                "cpu", cpu,
                "mem_mb", 20_000L,
                "gpus", accelerators,
                "est_runtime_ms", estimateMillis);
    }

    private static Set<String> notBegun(Deployment deployment, List<String> jobs) {
        Set<String> waiting = new HashSet<>(jobs);
        for (StandInWorker worker : deployment.workers()) {
            worker.begun().forEach(begin -> waiting.remove(begin.job()));
        }
        return waiting;
    }
}
