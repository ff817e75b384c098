import java.util.List;
import java.util.Map;

/**
 * The store carries a submission out late; in between the client cancels the job, and is told that
 * there is none.
 */
final class Case12 {
    private static final String ID = "5c0e7a21d94b3700";
    private static final long CANCEL_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 4_000;

    private Case12() {}

    public static void main(String[] args) {
        Lab3.main(args[0], Case12::run);
    }

    private static boolean run(Lab3 lab, boolean trouble) throws Exception {
        lab.configure(7);
        lab.startWorkers(4);
        lab.startNodes(3);
        Node3 leader = lab.awaitLeader();
        Node3 node = lab.nodes.stream().filter(other -> other != leader).findFirst().orElseThrow();
        Thread.sleep(4_000);
        if (trouble) {
            // Calls of clients are lost and done 6 s later; those of the scheduler aren't lost.
            lab.store.setAppendFault(
                    (topic, hasProducer, key) -> !hasProducer && key.startsWith("a:" + ID) ? 6_000 : -1);
        }
        String body =
                Lab3.job(
                        "5000",
                        List.of(
                                Json3.map("count", 2, "cpu", 4000, "mem_mb", 1024, "gpus", 1, "est_runtime_ms", 5000),
                                Json3.map("count", 2, "cpu", 4000, "mem_mb", 1024, "gpus", 1, "est_runtime_ms", 5000, "after", List.of(0)),
                                Json3.map("count", 2, "cpu", 4000, "mem_mb", 1024, "gpus", 1, "est_runtime_ms", 5000, "after", List.of(1))));
        Http3.Response submitted = lab.submit(node, ID, body);
        long calmMillis = lab.record.now();
        lab.store.setAppendFault((topic, hasProducer, key) -> -1);
        if (trouble && (submitted.status() == 200 || submitted.status() == 503 || submitted.status() == 429)) {
            throw new Lab3.CannotRun("the submission was answered: " + submitted.status());
        }
        // The client doesn't know whether the job was accepted, and cancels it.
        long cancelledMillis = -1;
        for (int i = 0; i < 10 && cancelledMillis < 0; i++) {
            int status = lab.call(node, "DELETE", ID, "", 3_000).status();
            if (status == 410 || status / 100 == 2) {
                cancelledMillis = lab.record.now();
            } else {
                Thread.sleep(300);
            }
        }
        if (cancelledMillis < 0) {
            throw new Lab3.CannotRun("the cancelling was never acknowledged");
        }
        Thread.sleep(22_000);
        lab.state(node, ID);
        boolean broken = false;
        for (Lab3.Start start : lab.starts) {
            if (start.task().startsWith(ID)
                    && start.atMillis() > cancelledMillis + CANCEL_MILLIS
                    && start.atMillis() > calmMillis + CONTACT_MILLIS) {
                lab.record.line(
                        "UNASKED: " + start.task() + " was started at " + start.atMillis() + ", "
                                + (start.atMillis() - cancelledMillis) + " ms after its cancelling was acknowledged");
                broken = true;
            }
        }
        return broken;
    }
}
