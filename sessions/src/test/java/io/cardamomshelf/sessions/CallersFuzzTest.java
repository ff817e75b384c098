package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Garbled JSON bodies neither crash nor hang an entry, run nothing, and get a clear error. */
class CallersFuzzTest {

    private static final String REQUEST =
            "{\"organisation\":\"nobody\",\"idempotent\":true,\"payload\":\"fuzzed\"}";
    private static final String JOB =
            "{\"organisation\":\"nobody\",\"accelerators\":4,\"adjacency\":\"RACK\","
                    + "\"estimateMillis\":1000,\"payload\":\"fuzzed\"}";
    private static final int MOST_CHANGES = 4;

    private static LocalDeployment local;

    /** Puts a text in place of some characters of another. */
    private record Change(int at, int length, String text) {
        String apply(String body) {
            int from = at % (body.length() + 1);
            int to = Math.min(body.length(), from + length);
            return body.substring(0, from) + text + body.substring(to);
        }
    }

    @BeforeContainer
    static void start() throws SessionException {
        local = new LocalDeployment();
        local.addWorker("w1", "jhb-a");
        local.addEntry("entry-1", "jhb-a");
        local.publish(8, List.of(), "jhb-a");
        local.awaitReady();
    }

    @AfterContainer
    static void stop() {
        local.close();
    }

    @Provide
    Arbitrary<List<Change>> changes() {
        Arbitrary<String> texts =
                Arbitraries.oneOf(
                        Arbitraries.strings().ofMaxLength(3),
                        Arbitraries.of("null", "-1", "1e999", "[[", "{}", "\\u0000", "\"", ",,"));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 1_000),
                        Arbitraries.integers().between(0, 5),
                        texts)
                .as(Change::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(MOST_CHANGES);
    }

    @Property(tries = 300, seed = "44")
    void ofRequestsAreRefused(@ForAll("changes") List<Change> changes) throws SessionException {
        isRefused("/v1/requests", garbled(REQUEST, changes));
    }

    @Property(tries = 300, seed = "46")
    void ofJobsAreRefused(@ForAll("changes") List<Change> changes) throws SessionException {
        isRefused("/v1/jobs", garbled(JOB, changes));
    }

    private static String garbled(String body, List<Change> changes) {
        String garbled = body;
        for (Change change : changes) {
            garbled = change.apply(garbled);
        }
        return garbled;
    }

    private static void isRefused(String path, String body) throws SessionException {
        LocalDeployment.Reply reply = local.send("POST", local.callers("entry-1") + path, body);
        assertTrue(reply.status() >= 400 && reply.status() < 500, body + " " + reply);
        assertEquals("NOT_RUN", reply.text("verdict"), body + " " + reply);
        assertEquals(List.of(), local.worker("w1").requestPayloads());
        assertEquals(List.of(), local.worker("w1").startedJobs());
    }
}
