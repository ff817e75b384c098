import java.util.List;
import lab.Lab;

/**
 * An idle worker crashes and starts again at once under the identifier that it had, gets a task,
 * and is lost for good. The task must be started elsewhere.
 */
public final class Case {

    /** How long the worker has been up before its first crash. */
    private static final long UPTIME_MILLIS = 50_000;

    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;
    private static final String TASK = "00000000000000d2.0.0.0";

    public static void main(String[] args) {
        Lab.main(Case::run);
    }

    private static boolean run(Lab lab) throws Exception {
        lab.configure(1);
        String[] zones = {"marmara-a", "marmara-b", "ege-a"};
        for (int i = 0; i < 8; i++) {
            lab.startWorker("i-w" + i, zones[i % 3], "a", "r1-1", 0);
        }
        long upMillis = System.currentTimeMillis();
        lab.startEntry("frontend-marmara-a-1", "marmara-a");
        lab.startEntry("frontend-marmara-b-1", "marmara-b");
        lab.startEntry("frontend-ege-a-1", "ege-a");
        for (String name : List.of("frontend-marmara-a-1", "frontend-marmara-b-1", "frontend-ege-a-1")) {
            lab.awaitReady(name);
        }
        String entry = "frontend-marmara-a-1";
        Lab.sleep(3_000);

        // Shows which worker gets the next task while all are idle.
        String first = "/low/00000000000000d1";
        lab.submit(entry, first, job(500));
        Lab.require(lab.awaitState(entry, first, "completed", 10_000), "the first job hasn't ended");
        String worker = lab.lines("begins 00000000000000d1").get(0).split(" ")[2];
        Lab.sleep(upMillis + UPTIME_MILLIS - System.currentTimeMillis());

        boolean firstCrash = Lab.trouble() && !"1".equals(System.getenv("ONE_CRASH"));
        if (firstCrash) {
            lab.kill(worker);
            lab.restartWorker(worker);
            Lab.require(
                    Lab.await(5_000, () -> lab.lines(worker + " registered").size() == 2),
                    worker + " hasn't registered again");
            Lab.sleep(1_500);
        }
        String job = "/low/00000000000000d2";
        lab.submit(entry, job, job(5_000));
        Lab.require(
                Lab.await(3_000, () -> !lab.lines(worker + " begins " + TASK).isEmpty()),
                "the task didn't begin on " + worker);
        long trafficEndMillis = System.currentTimeMillis();
        Lab.sleep(1_500);
        if (Lab.trouble()) {
            lab.kill(worker);
        }
        // FINISH_MILLIS after the traffic the job is asked for; with nothing running it is lost.
        Lab.sleep(trafficEndMillis + FINISH_MILLIS - System.currentTimeMillis());
        boolean broken = true;
        for (long waited = 0; waited <= IDLE_MILLIS && broken; waited += 500) {
            broken =
                    lab.lines("begins " + TASK).size() == 1
                            && !lab.call(entry, "GET", job, null).body().contains("completed");
            Lab.sleep(500);
        }
        if (broken) {
            lab.note("LOST " + TASK + " has had no run for "
                    + (System.currentTimeMillis() - trafficEndMillis - 1_500) + " ms; seven idle"
                    + " workers have room for it");
            boolean late =
                    Lab.await(20_000, () -> lab.lines("begins " + TASK).size() > 1);
            lab.note(late ? "it begins later" : "it hasn't begun another 20 s later either");
        }
        return broken;
    }

    private static String job(int millis) {
        return "{\"spec\":\"ms=" + millis + "\",\"phases\":[{\"count\":1,\"cpu\":15000,"
                + "\"mem_mb\":79000,\"gpus\":8,\"est_runtime_ms\":" + millis + "}]}";
    }
}
