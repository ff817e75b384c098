package io.cardamomshelf.sessions;

import java.util.function.Consumer;

/**
 * The main job on the users' platform, told line by line: a gang is accepted, run, shown as
 * completed over a change of scheduler, and a second job is cancelled.
 *
 * <p>Not thread-safe.
 */
public final class PlatformSession {

    private static final String GANG = "00000000000000a1";
    private static final String LONG = "00000000000000a2";
    private static final String MISSING = "00000000000000a3";
    private static final String GANG_BODY =
            "{\"spec\":\"ms=3000\",\"phases\":[{\"count\":2,\"cpu\":15000,\"mem_mb\":79000,"
                    + "\"gpus\":8,\"est_runtime_ms\":3000,\"gang\":true,\"rack_local\":true}]}";
    private static final String LONG_BODY =
            "{\"spec\":\"ms=60000\",\"phases\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":1000,"
                    + "\"gpus\":1,\"est_runtime_ms\":60000}]}";
    private static final String BAD_BODY =
            "{\"spec\":\"ms=1\",\"phases\":[{\"count\":1,\"cpu\":\"many\"}]}";

    private final PlatformDeployment deployment;
    private final Consumer<String> transcript;

    /**
     * Creates a session.
     *
     * @param deployment the platform's stand-ins, already started, not null
     * @param transcript takes each line of the story, not null
     */
    public PlatformSession(PlatformDeployment deployment, Consumer<String> transcript) {
        this.deployment = deployment;
        this.transcript = transcript;
    }

    /**
     * Runs the story.
     *
     * @throws SessionException if a step isn't seen as it must be
     */
    public void run() throws SessionException {
        start();
        refusals();
        gangOverAChangeOfScheduler();
        cancellation();
        stop();
    }

    private void start() throws SessionException {
        deployment.configure(1, PlatformDeployment.KEY);
        deployment.node("n1");
        deployment.node("n2");
        Wait.until("ready", () -> deployment.isReady("n1") && deployment.isReady("n2"));
        Wait.until("a scheduler", () -> deployment.leader().isPresent());
        say("two machines are ready, one of them is the scheduler");
    }

    private void refusals() throws SessionException {
        tell("a job that nobody submitted", deployment.call("n1", "GET", MISSING, null));
        tell("a submission with a wrong field", deployment.call("n1", "POST", GANG, BAD_BODY));
        tell("a wrong key", deployment.call("n1", "POST", "/jobs/" + GANG, GANG_BODY, "no-key"));
        tell(
                "a queue that isn't there",
                deployment.call("n1", "GET", "/other/", null, PlatformDeployment.KEY));
    }

    private void gangOverAChangeOfScheduler() throws SessionException {
        tell("a gang of 2 workers is submitted", deployment.call("n1", "POST", GANG, GANG_BODY));
        Wait.until("the gang runs", () -> deployment.count("starts") == 2);
        String first = deployment.leader().orElseThrow();
        String second = first.equals("n1") ? "n2" : "n1";
        say("and submitted again: " + deployment.call(second, "POST", GANG, GANG_BODY).status());
        deployment.process(first).kill();
        say("the scheduler's process is killed");
        Wait.until(
                "completion",
                () -> deployment.call(second, "GET", GANG, null).body().contains("completed"));
        tell("the other machine shows the gang", deployment.call(second, "GET", GANG, null));
        say("starts " + deployment.count("starts") + ", overlaps " + deployment.count("overlaps"));
        deployment.node(first);
        Wait.until("ready again", () -> deployment.isReady(first));
    }

    private void cancellation() throws SessionException {
        tell("a long job is submitted", deployment.call("n1", "POST", LONG, LONG_BODY));
        Wait.until("the long job runs", () -> deployment.count("starts") == 2 + 3);
        Wait.until(
                "the other machine knows it",
                () -> deployment.call("n2", "GET", LONG, null).body().contains("running"));
        tell("the other machine is told to cancel it", deployment.call("n2", "DELETE", LONG, null));
        Wait.until(
                "cancelled",
                () -> deployment.call("n1", "GET", LONG, null).body().contains("cancelled"));
        tell("it is shown everywhere", deployment.call("n1", "GET", LONG, null));
        tell("nothing waits in the queue", deployment.call("n1", "GET", "", null));
    }

    private void stop() throws SessionException {
        say("SIGTERM ends n1 with " + deployment.process("n1").terminate());
        say("SIGTERM ends n2 with " + deployment.process("n2").terminate());
        say("starts " + deployment.count("starts") + ", overlaps " + deployment.count("overlaps"));
    }

    private void tell(String what, Deployment.Reply reply) {
        say(what + ": " + reply.status() + " " + reply.body());
    }

    private void say(String line) {
        transcript.accept(line);
    }
}
