import java.util.ArrayList;
import java.util.List;

/** A connection of the scheduler to a worker goes silent for good, in the midst of an answer. */
final class Case13 {
    private static final String ID = "5c0e7a21d94b3800";

    private Case13() {}

    public static void main(String[] args) {
        Lab3.main(args[0], Case13::run);
    }

    private static boolean run(Lab3 lab, boolean trouble) throws Exception {
        lab.configure(7);
        lab.startWorkers(4);
        lab.startNodes(3);
        Node3 leader = lab.awaitLeader();
        Node3 node = lab.nodes.stream().filter(other -> other != leader).findFirst().orElseThrow();
        Thread.sleep(4_000);
        // 100 small tasks, so that a worker's list takes more than one packet.
        List<Object> steps =
                List.of(Json3.map("count", 100, "cpu", 1000, "mem_mb", 512, "est_runtime_ms", 6000));
        if (lab.submit(node, ID, Lab3.job("6000", steps)).status() != 200) {
            throw new Lab3.CannotRun("the job wasn't accepted");
        }
        Thread.sleep(2_000);
        boolean[] done = {false};
        if (trouble) {
            lab.workerProxies.forEach(
                    (id, proxy) ->
                            proxy.setSilencer(
                                    (link, bytes, length) -> {
                                        synchronized (done) {
                                            boolean hit =
                                                    !done[0]
                                                            && link.lastRequest().contains("/hold")
                                                            && length > 1_448;
                                            if (hit) {
                                                done[0] = true;
                                                lab.record.line("a connection to " + id + " goes silent after the first packet of the answer to " + link.lastRequest());
                                            }
                                            return hit;
                                        }
                                    }));
        }
        Thread.sleep(40_000);
        if (trouble && !done[0]) {
            throw new Lab3.CannotRun("no connection went silent");
        }
        boolean broken = true;
        for (int round = 0; round < 5; round++) {
            broken &= lab.state(node, ID).equals("running");
            Thread.sleep(1_050);
        }
        long fromMillis = lab.record.now() - 10_000;
        broken &= lab.starts.stream().noneMatch(start -> start.atMillis() > fromMillis);
        broken &= lab.starts.size() <= lab.ends.size();
        if (broken) {
            lab.record.line("LOST: " + ID + " isn't completed, and nothing has run for over 3 s");
        }
        return broken;
    }
}
