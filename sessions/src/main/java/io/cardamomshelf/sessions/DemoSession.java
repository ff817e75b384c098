package io.cardamomshelf.sessions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * The main job, from end to end, as a story: publish the lists, send two requests, run a gang.
 *
 * <p>Use: {@code new DemoSession(deployment, System.out::println).run()}; every step is checked.
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
     * @param transcript takes each line of the story, not null
     */
    public DemoSession(Deployment deployment, Consumer<String> transcript) {
        this.deployment = deployment;
        this.transcript = transcript;
    }

    /**
     * Runs the story.
     *
     * @throws SessionException if a step isn't seen as it must be
     */
    public void run() throws SessionException {
        startProcesses();
        publish();
        idempotentRequest();
        nonIdempotentRequest();
        String job = gang();
        timeline(job);
        deployment.stopEntries();
        say("every entry instance ended with 0 after SIGTERM");
    }

    private void startProcesses() throws SessionException {
        for (String site : List.of("jhb-a", "pta-b")) {
            deployment.worker(site + "-w1", site, "gauteng");
            deployment.worker(site + "-w2", site, "gauteng");
        }
        deployment.entry(FIRST, "jhb-a", "gauteng");
        deployment.entry(SECOND, "jhb-a", "gauteng");
        deployment.entry("entry-3", "pta-b", "gauteng");
        deployment.awaitReady();
        say("1 log, 1 list, 4 workers and 3 entry instances serve in 2 data centres");
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
        command("publish", files[0], files[1], files[2], files[3]);
        Wait.until("lists on all instances", () -> status("\"configOffset\":1") == 3);
        Wait.until("workers on all instances", () -> status("\"total\":16") == 6);
        say("the lists are in force on 3 instances, which see 16 accelerators in each data centre");
    }

    private int status(String text) throws SessionException {
        String out = deployment.cli(FIRST, "status", "--json").out();
        return out.split(Pattern.quote(text), -1).length - 1;
    }

    private void idempotentRequest() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"idempotent\":true,"
                        + "\"payload\":\"whose turn is it\"}";
        JsonNode reply = post("/v1/requests", FIRST, body, OK);
        expect("RAN", reply.path("verdict").asText());
        say("idempotent request: RAN, answer '" + reply.path("answer").asText() + "'");
    }

    private void nonIdempotentRequest() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"idempotent\":false,"
                        + "\"payload\":\"confirm payout 17\"}";
        JsonNode first = post("/v1/requests", FIRST, body, OK, "Idempotency-Key", "payout-17");
        JsonNode again = post("/v1/requests", SECOND, body, OK, "Idempotency-Key", "payout-17");
        expect("RAN", first.path("verdict").asText());
        expect(first.path("answer").asText(), again.path("answer").asText());
        int runs = runs("confirm payout 17");
        expect("1", "" + runs);
        say("non-idempotent request: RAN, answer '" + first.path("answer").asText() + "'");
        say("the same key through another instance: the same answer, " + runs + " run");
    }

    private int runs(String payload) throws SessionException {
        int runs = 0;
        for (String worker : List.of("jhb-a-w1", "jhb-a-w2", "pta-b-w1", "pta-b-w2")) {
            String url = deployment.endpoint(worker, "port") + "/admin/runs";
            for (JsonNode request : json(deployment.http("GET", url, null)).path("requests")) {
                runs += request.asText().equals(payload) ? 1 : 0;
            }
        }
        return runs;
    }

    private String gang() throws SessionException {
        String body =
                "{\"organisation\":\"rotating-savings\",\"accelerators\":16,"
                        + "\"adjacency\":\"RACK\",\"estimateMillis\":2000,"
                        + "\"payload\":\"{\\\"runMillis\\\":1500}\"}";
        JsonNode accepted = post("/v1/jobs", FIRST, body, ACCEPTED);
        String job = accepted.path("job").asText();
        say("gang job of 16 adjacent accelerators: accepted");
        Wait.until("gang runs", () -> show(job).path("state").asText().equals("RUNNING"));
        say("the gang runs on " + show(job).path("members").size() + " workers in jhb-a");
        Wait.until("gang ends", () -> show(job).path("state").asText().equals("ENDED"));
        expect("SUCCEEDED", show(job).path("result").asText());
        say("the gang ended: " + show(job).path("result").asText());
        return job;
    }

    private JsonNode show(String job) throws SessionException {
        String url = deployment.endpoint(FIRST, "callers") + "/v1/jobs/" + job;
        return json(deployment.http("GET", url, null));
    }

    private void timeline(String job) throws SessionException {
        Wait.until(
                "the end is on the time line",
                () ->
                        deployment
                                .cli(FIRST, "timeline", "--about", job)
                                .out()
                                .contains("JOB_ENDED"));
        command("timeline", "--about", job);
    }

    private void command(String... args) throws SessionException {
        Deployment.Ended ended = deployment.cli(FIRST, args);
        say("$ cardamomshelf " + args[0]);
        ended.out().lines().forEach(line -> say("  " + line));
        expect("0", "" + ended.code());
    }

    private JsonNode post(String path, String entry, String body, int status, String... headers)
            throws SessionException {
        String url = deployment.endpoint(entry, "callers") + path;
        Deployment.Reply reply = deployment.http("POST", url, body, headers);
        expect("" + status, reply.status() + (reply.status() == status ? "" : reply.body()));
        return json(reply);
    }

    private static JsonNode json(Deployment.Reply reply) throws SessionException {
        try {
            return MAPPER.readTree(reply.body());
        } catch (IOException e) {
            throw new SessionException("no JSON: " + reply.body());
        }
    }

    private static void expect(String expected, String seen) throws SessionException {
        if (!expected.equals(seen)) {
            throw new SessionException("expected " + expected + ", seen " + seen);
        }
    }

    private void say(String line) {
        transcript.accept(line);
    }
}
