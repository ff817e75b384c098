import java.util.List;
import lab.Lab;

/**
 * A worker is unhealthy for a moment and answers 503 to the stop of a cancelled task. The stop must
 * be ordered again, as the worker has done nothing.
 */
public final class Case {

    private static final long UNHEALTHY_MILLIS = 1_500;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_TIMEOUT_MILLIS = 400;
    private static final String TASK = "00000000000000f1.0.0.0";

    public static void main(String[] args) {
        Lab.main(Case::run);
    }

    private static boolean run(Lab lab) throws Exception {
        lab.configure(1);
        String[] zones = {"marmara-a", "marmara-b", "ege-a"};
        for (int i = 0; i < 10; i++) {
            lab.startWorker("i-w" + i, zones[i % 3], "a", "r1-1", 0);
        }
        lab.startEntry("frontend-marmara-a-1", "marmara-a");
        lab.startEntry("frontend-marmara-b-1", "marmara-b");
        lab.startEntry("frontend-ege-a-1", "ege-a");
        for (String name :
                List.of("frontend-marmara-a-1", "frontend-marmara-b-1", "frontend-ege-a-1")) {
            lab.awaitReady(name);
        }
        String entry = "frontend-marmara-a-1";
        Lab.sleep(3_000);

        String job = "/low/00000000000000f1";
        String body =
                "{\"spec\":\"ms=45000\",\"phases\":[{\"count\":1,\"cpu\":5600,\"mem_mb\":29000,"
                        + "\"gpus\":1,\"est_runtime_ms\":45000}]}";
        lab.submit(entry, job, body);
        Lab.require(Lab.await(5_000, () -> !lab.lines("begins " + TASK).isEmpty()), "not begun");
        String worker = lab.lines("begins " + TASK).get(0).split(" ")[2];
        Lab.sleep(2_000);
        if (Lab.trouble()) {
            lab.makeUnhealthy(worker, UNHEALTHY_MILLIS);
            Lab.sleep(300);
        }
        int status = lab.call(entry, "DELETE", job, null).status();
        Lab.require(status == 200, "the cancelling isn't acknowledged: " + status);
        // The stretch without a disruption begins after the worker is healthy again.
        Lab.sleep(UNHEALTHY_MILLIS + CONTACT_MILLIS);
        Lab.sleep(CANCEL_MILLIS + STOP_TIMEOUT_MILLIS + 1_000);
        boolean broken = lab.lines("ends " + TASK).isEmpty();
        if (broken) {
            lab.note("UNASKED " + TASK + " of a cancelled job still runs on " + worker);
            boolean ends = Lab.await(20_000, () -> !lab.lines("ends " + TASK).isEmpty());
            lab.note(ends ? "it ends later" : "it still runs another 20 s later");
        }
        lab.call(entry, "GET", job, null);
        return broken;
    }
}
