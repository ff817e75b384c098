import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A connection of the scheduler to the store goes silent for good, in the midst of an answer. */
final class Case11 {
    private Case11() {}

    public static void main(String[] args) {
        Lab3.main(args[0], Case11::run);
    }

    private static boolean run(Lab3 lab, boolean trouble) throws Exception {
        lab.configure(7);
        lab.startWorkers(4);
        lab.startNodes(3);
        Node3 leader = lab.awaitLeader();
        Node3 other = lab.nodes.stream().filter(node -> node != leader).findFirst().orElseThrow();
        Thread.sleep(4_000);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            submit(lab, other, ids, String.format("5c0e7a21d94b36%02x", i), "1000");
            Thread.sleep(500);
        }
        if (trouble) {
            // One connection, that of the scheduler's read of the jobs.
            boolean[] done = {false};
            lab.storeProxies
                    .get(leader.name)
                    .setSilencer(
                            (link, bytes, length) -> {
                                boolean hit =
                                        !done[0]
                                                && link.lastRequest().contains("/log-read")
                                                && link.lastRequest().contains("topic=keyed.jobs")
                                                && length > 1_448;
                                if (hit) {
                                    done[0] = true;
                                    lab.record.line("a connection of " + leader.name + " to the store goes silent after the first packet of the answer to " + link.lastRequest());
                                }
                                return hit;
                            });
        }
        String longSpec = "1000 " + "x".repeat(3_900);
        submit(lab, other, ids, "5c0e7a21d94b3610", longSpec);
        for (int i = 0; i < 8; i++) {
            Thread.sleep(1_000);
            submit(lab, other, ids, String.format("5c0e7a21d94b36%02x", 0x20 + i), "1000");
        }
        lab.record.line("end of the traffic");
        Thread.sleep(14_000);
        // finish_s has passed; for 3 s jobs are asked for.
        boolean broken = false;
        List<String> waiting = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            List<String> queued = new ArrayList<>();
            for (String id : ids) {
                if (lab.state(other, id).equals("queued")) {
                    queued.add(id);
                }
            }
            waiting = round == 0 ? queued : waiting.stream().filter(queued::contains).toList();
            Thread.sleep(1_050);
        }
        for (String id : waiting) {
            boolean hasRun = lab.starts.stream().anyMatch(start -> start.task().startsWith(id));
            if (!hasRun) {
                lab.record.line("LOST: " + id + " has nothing running for over 3 s, and nothing else runs");
                broken = true;
            }
        }
        return broken;
    }

    private static void submit(Lab3 lab, Node3 node, List<String> ids, String id, String spec) {
        if (lab.submit(node, id, Lab3.job(spec, 2, 1)).status() == 200) {
            ids.add(id);
        }
    }
}
