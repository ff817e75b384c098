package io.cardamomshelf.sessions;

import java.util.function.Consumer;

/**
 * A scenario on the users' platform that prints each step: a gang job is accepted, runs and
 * completes although the scheduler is killed, and a second job is cancelled.
 *
 * <p>Not thread-safe.
 */
public final class PlatformSession {

    private static final String GANG = "00000000000000a1";
    private static final String LONG = "00000000000000a2";
    private static final String UNKNOWN_JOB = "00000000000000a3";
    private static final String GANG_BODY =
            "{\"spec\":\"ms=3000\",\"phases\":[{\"count\":2,\"cpu\":15000,\"mem_mb\":79000,"
                    + "\"gpus\":8,\"est_runtime_ms\":3000,\"gang\":true,\"rack_local\":true}]}";
    private static final String LONG_BODY =
            "{\"spec\":\"ms=60000\",\"phases\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":1000,"
                    + "\"gpus\":1,\"est_runtime_ms\":60000}]}";
    private static final String INVALID_BODY =
            "{\"spec\":\"ms=1\",\"phases\":[{\"count\":1,\"cpu\":\"many\"}]}";

    private final PlatformDeployment deployment;
    private final Consumer<String> transcript;

    /**
     * Creates a session.
     *
     * @param deployment the platform's stand-ins, already started, not null
     * @param transcript receives each printed line, not null
     */
    public PlatformSession(PlatformDeployment deployment, Consumer<String> transcript) {
        this.deployment = deployment;
        this.transcript = transcript;
    }

    /**
     * Runs the scenario.
     *
     * @throws SessionException if a step fails or has an unexpected result
     */
    public void run() throws SessionException {
        start();
        refusals();
        gangAcrossSchedulerFailover();
        cancellation();
        stop();
    }

    private void start() throws SessionException {
        deployment.configure(1, PlatformDeployment.KEY);
        deployment.startInstance("n1");
        deployment.startInstance("n2");
        Wait.until(
                "both instances are ready",
                () -> deployment.isReady("n1") && deployment.isReady("n2"));
        Wait.until("a scheduler is elected", () -> deployment.lastElected().isPresent());
        print("two machines are ready, one of them is the scheduler");
    }

    private void refusals() throws SessionException {
        printReply("a job that nobody submitted", deployment.call("n1", "GET", UNKNOWN_JOB, null));
        printReply(
                "a submission with a wrong field",
                deployment.call("n1", "POST", GANG, INVALID_BODY));
        printReply(
                "a wrong key", deployment.call("n1", "POST", "/jobs/" + GANG, GANG_BODY, "no-key"));
        printReply(
                "a queue that isn't there",
                deployment.call("n1", "GET", "/other/", null, PlatformDeployment.KEY));
    }

    private void gangAcrossSchedulerFailover() throws SessionException {
        printReply(
                "a gang of 2 workers is submitted", deployment.call("n1", "POST", GANG, GANG_BODY));
        Wait.until("the gang runs", () -> deployment.count("starts") == 2);
        String first = deployment.lastElected().orElseThrow();
        String second = first.equals("n1") ? "n2" : "n1";
        print("and submitted again: " + deployment.call(second, "POST", GANG, GANG_BODY).status());
        deployment.process(first).kill();
        print("the scheduler's process is killed");
        Wait.until(
                "the gang completes",
                () -> deployment.call(second, "GET", GANG, null).body().contains("completed"));
        printReply("the other machine shows the gang", deployment.call(second, "GET", GANG, null));
        print(
                "starts "
                        + deployment.count("starts")
                        + ", overlaps "
                        + deployment.count("overlaps"));
        deployment.startInstance(first);
        Wait.until("the restarted instance is ready", () -> deployment.isReady(first));
    }

    private void cancellation() throws SessionException {
        printReply("a long job is submitted", deployment.call("n1", "POST", LONG, LONG_BODY));
        Wait.until("the long job runs", () -> deployment.count("starts") == 2 + 3);
        Wait.until(
                "the other instance shows the long job as running",
                () -> deployment.call("n2", "GET", LONG, null).body().contains("running"));
        printReply(
                "the other machine is told to cancel it",
                deployment.call("n2", "DELETE", LONG, null));
        Wait.until(
                "the long job is cancelled",
                () -> deployment.call("n1", "GET", LONG, null).body().contains("cancelled"));
        printReply("it is shown everywhere", deployment.call("n1", "GET", LONG, null));
        printReply("nothing waits in the queue", deployment.call("n1", "GET", "", null));
    }

    private void stop() throws SessionException {
        print("SIGTERM ends n1 with " + deployment.process("n1").terminate());
        print("SIGTERM ends n2 with " + deployment.process("n2").terminate());
        print(
                "starts "
                        + deployment.count("starts")
                        + ", overlaps "
                        + deployment.count("overlaps"));
    }

    private void printReply(String description, Deployment.Reply reply) {
        print(description + ": " + reply.status() + " " + reply.body());
    }

    private void print(String line) {
        transcript.accept(line);
    }
}
