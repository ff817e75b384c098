import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients cancel some of their scheduled jobs right after the acceptance, on the connection that
 * brought it. A cancelled job must not go on starting tasks.
 */
final class CancelAfterAcceptance implements Case.Steps {

    private static final int JOBS = 40;

    /** Two jobs in five are cancelled: the share of the largest give_up of the site. */
    private static final int CANCELLED_OF_FIVE = 2;

    private static final long PAUSE_MILLIS = 250;
    private static final long LATE_CANCEL_MILLIS = 2_000;
    private static final long INTERVAL_MILLIS = 4_500;
    private static final long OCCURRENCES = 8;

    @Override
    public boolean run(Path repository, Path folder, Journal journal, boolean trouble)
            throws Exception {
        try (Deployment deployment = new Deployment(repository, folder, journal, 3, 6)) {
            Map<String, Long> cancelledAt = new HashMap<>();
            Map<String, Integer> cancelStatus = new HashMap<>();
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0xa000_0000L + i);
                int machine = i % deployment.machines();
                if (deployment.submit(machine, id, scheduledJob()).status() == 200
                        && i % 5 < CANCELLED_OF_FIVE) {
                    if (!trouble) {
                        Thread.sleep(LATE_CANCEL_MILLIS);
                    }
                    int status = deployment.cancel(machine, id).status();
                    cancelledAt.put(id, journal.millis());
                    cancelStatus.put(id, status);
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            long lastCancel = journal.millis();
            long boundMillis = Deployment.ACK_MILLIS + Deployment.CANCEL_MILLIS;
            while (journal.millis() < lastCancel + boundMillis + 2 * INTERVAL_MILLIS + 1_000) {
                Thread.sleep(100);
            }
            List<String> late = new ArrayList<>();
            for (StandInWorker worker : deployment.workers()) {
                for (StandInWorker.Begin begin : worker.begun()) {
                    Long cancelled = cancelledAt.get(begin.job());
                    if (cancelled != null && begin.millis() > cancelled + boundMillis) {
                        late.add(begin.job());
                        journal.write(
                                "LATE: %s began %d ms after its cancel was answered %d",
                                begin.task(),
                                begin.millis() - cancelled,
                                cancelStatus.get(begin.job()));
                    }
                }
            }
            for (String id : cancelledAt.keySet()) {
                deployment.state(0, id);
            }
            long gone = cancelStatus.values().stream().filter(status -> status == 410).count();
            journal.tell(
                    "%d jobs cancelled, %d of the cancels answered 410; %d starts of %d jobs more"
                            + " than %d ms after the answer",
                    cancelledAt.size(),
                    gone,
                    late.size(),
                    late.stream().distinct().count(),
                    boundMillis);
            return late.isEmpty();
        }
    }

    /** A job of one short task that is due eight times, as the site's scheduled jobs are. */
    private static Map<String, Object> scheduledJob() {
        return JsonText.object(
                "spec",
                "ms=800",
                "phases",
                List.of(
                        JsonText.object(
                                "count", 1L,
                                "cpu", 5_600L,
                                "mem_mb", 20_000L,
                                "gpus", 1L,
                                "est_runtime_ms", 800L)),
                "repetitions",
                OCCURRENCES,
                "initial_delay_ms",
                System.currentTimeMillis() + 1_000,
                "interval_ms",
                INTERVAL_MILLIS);
    }
}
