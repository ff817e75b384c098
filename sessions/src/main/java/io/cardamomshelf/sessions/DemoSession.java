package io.cardamomshelf.sessions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * The scenario of the demo, which prints each step: publish the plans and grants, send an
 * idempotent and a non-idempotent request, run a gang job and print its timeline.
 *
 * <p>Use: {@code new DemoSession(deployment, System.out::println).run()}; each step is checked.
 *
 * <p>Not thread-safe.
 */
public final class DemoSession {

    private static final String FIRST = "entry-1";
    private static final String SECOND = "entry-2";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment deployment;
    private final Consumer<String> transcript;

    /**
     * Creates a session.
     *
     * @param deployment the platform's stand-ins, already started, not null
     * @param transcript receives each printed line, not null
     */
    public DemoSession(Deployment deployment, Consumer<String> transcript) {
        this.deployment = deployment;
        this.transcript = transcript;
    }

    /**
     * Runs the scenario.
     *
     * @throws SessionException if a step fails or has an unexpected result
     */
    public void run() throws SessionException {
        startProcesses();
        publish();
        idempotentRequest();
        nonIdempotentRequest();
        String job = runGang();
        printTimeline(job);
        deployment.stopEntries();
        print("every entry instance ended with 0 after SIGTERM");
    }

    private void startProcesses() throws SessionException {
        for (String dataCentre : List.of("jhb-a", "pta-b")) {
            deployment.startWorker(dataCentre + "-w1", dataCentre, "gauteng");
            deployment.startWorker(dataCentre + "-w2", dataCentre, "gauteng");
        }
        deployment.startEntry(FIRST, "jhb-a", "gauteng");
        deployment.startEntry(SECOND, "jhb-a", "gauteng");
        deployment.startEntry("entry-3", "pta-b", "gauteng");
        deployment.awaitReady();
        print("1 log, 1 list, 4 workers and 3 entry instances serve in 2 data centres");
    }

    private void publish() throws SessionException {
        Path plans =
                deployment.write(
                        "plans.yaml",
                        List.of(
                                "plans:",
                                "  rotating-savings:",
                                "    quota: 32",
                                "    weight: 1",
                                "    guarantees:",
                                "      - {dataCentre: jhb-a, accelerators: 16, blocks: 1}"));
        Path grants =
                deployment.write(
                        "grants.yaml",
                        List.of(
                                "grants:",
                                "  rotating-savings: {dataCentres: [jhb-a], maxRequests: 60}"));
        String[] files = {"--plans", plans.toString(), "--grants", grants.toString()};
        runCommand("publish", files[0], files[1], files[2], files[3]);
        Wait.until("lists on all instances", () -> countInStatus("\"configOffset\":1") == 3);
        Wait.until("workers on all instances", () -> countInStatus("\"total\":16") == 6);
        print(
                "the lists are in force on 3 instances, "
                        + "which see 16 accelerators in each data centre");
    }

    private int countInStatus(String text) throws SessionException {
        String output = deployment.runCommand(FIRST, "status", "--json").output();
        return output.split(Pattern.quote(text), -1).length - 1;
    }

    private void idempotentRequest() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"idempotent\":true,"
                        + "\"payload\":\"whose turn is it\"}";
        JsonNode reply = post("/v1/requests", FIRST, body, OK);
        checkEqual("RAN", reply.path("verdict").asText());
        print("idempotent request: RAN, answer '" + reply.path("answer").asText() + "'");
    }

    private void nonIdempotentRequest() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"idempotent\":false,"
                        + "\"payload\":\"confirm payout 17\"}";
        JsonNode first = post("/v1/requests", FIRST, body, OK, "Idempotency-Key", "payout-17");
        JsonNode repeated = post("/v1/requests", SECOND, body, OK, "Idempotency-Key", "payout-17");
        checkEqual("RAN", first.path("verdict").asText());
        checkEqual(first.path("answer").asText(), repeated.path("answer").asText());
        int runs = countRuns("confirm payout 17");
        checkEqual("1", "" + runs);
        print("non-idempotent request: RAN, answer '" + first.path("answer").asText() + "'");
        print("the same key through another instance: the same answer, " + runs + " run");
    }

    private int countRuns(String payload) throws SessionException {
        int runs = 0;
        for (String worker : List.of("jhb-a-w1", "jhb-a-w2", "pta-b-w1", "pta-b-w2")) {
            String url = deployment.endpoint(worker, "port") + "/admin/runs";
            for (JsonNode request : parseJson(deployment.send("GET", url, null)).path("requests")) {
                runs += request.asText().equals(payload) ? 1 : 0;
            }
        }
        return runs;
    }

    private String runGang() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"accelerators\":16,"
                        + "\"adjacency\":\"RACK\",\"estimateMillis\":2000,"
                        + "\"payload\":\"{\\\"runMillis\\\":1500}\"}";
        JsonNode accepted = post("/v1/jobs", FIRST, body, ACCEPTED);
        String job = accepted.path("job").asText();
        print("gang job of 16 adjacent accelerators: accepted");
        Wait.until("gang runs", () -> fetchJob(job).path("state").asText().equals("RUNNING"));
        print("the gang runs on " + fetchJob(job).path("members").size() + " workers in jhb-a");
        Wait.until("gang ends", () -> fetchJob(job).path("state").asText().equals("ENDED"));
        checkEqual("SUCCEEDED", fetchJob(job).path("result").asText());
        print("the gang ended: " + fetchJob(job).path("result").asText());
        return job;
    }

    private JsonNode fetchJob(String job) throws SessionException {
        String url = deployment.endpoint(FIRST, "callers") + "/v1/jobs/" + job;
        return parseJson(deployment.send("GET", url, null));
    }

    private void printTimeline(String job) throws SessionException {
        Wait.until(
                "the end of the job is on the timeline",
                () ->
                        deployment
                                .runCommand(FIRST, "timeline", "--about", job)
                                .output()
                                .contains("JOB_ENDED"));
        runCommand("timeline", "--about", job);
    }

    private void runCommand(String... args) throws SessionException {
        Deployment.CommandResult result = deployment.runCommand(FIRST, args);
        print("$ cardamomshelf " + args[0]);
        result.output().lines().forEach(line -> print("  " + line));
        checkEqual("0", "" + result.exitCode());
    }

    private JsonNode post(String path, String entry, String body, int status, String... headers)
            throws SessionException {
        String url = deployment.endpoint(entry, "callers") + path;
        Deployment.Reply reply = deployment.send("POST", url, body, headers);
        checkEqual("" + status, reply.status() + (reply.status() == status ? "" : reply.body()));
        return parseJson(reply);
    }

    private static JsonNode parseJson(Deployment.Reply reply) throws SessionException {
        try {
            return MAPPER.readTree(reply.body());
        } catch (IOException e) {
            throw new SessionException("reply is not valid JSON: " + reply.body());
        }
    }

    private static void checkEqual(String expected, String actual) throws SessionException {
        if (!expected.equals(actual)) {
            throw new SessionException("expected " + expected + ", but got " + actual);
        }
    }

    private void print(String line) {
        transcript.accept(line);
    }
}
