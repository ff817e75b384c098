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

/**
 * Sends malformed JSON bodies to an entry. The entry must neither crash nor hang: it refuses each
 * with a 4xx status and the verdict {@code NOT_RUN}, and runs nothing.
 */
class CallersFuzzTest {

    private static final String REQUEST =
            "{\"organisation\":\"nobody\",\"idempotent\":true,\"payload\":\"fuzzed\"}";
    private static final String JOB =
            "{\"organisation\":\"nobody\",\"accelerators\":4,\"adjacency\":\"RACK\","
                    + "\"estimateMillis\":1000,\"payload\":\"fuzzed\"}";
    private static final int MAX_REPLACEMENTS = 4;

    private static LocalDeployment local;

    /** Replaces some characters of a body by a text. */
    private record Replacement(int position, int length, String text) {
        String apply(String body) {
            int from = position % (body.length() + 1);
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
    Arbitrary<List<Replacement>> replacements() {
        Arbitrary<String> texts =
                Arbitraries.oneOf(
                        Arbitraries.strings().ofMaxLength(3),
                        Arbitraries.of("null", "-1", "1e999", "[[", "{}", "\\u0000", "\"", ",,"));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 1_000),
                        Arbitraries.integers().between(0, 5),
                        texts)
                .as(Replacement::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(MAX_REPLACEMENTS);
    }

    @Property(tries = 300, seed = "44")
    void malformedRequestsAreRefused(@ForAll("replacements") List<Replacement> replacements)
            throws SessionException {
        assertRefused("/v1/requests", applyAll(REQUEST, replacements));
    }

    @Property(tries = 300, seed = "46")
    void malformedJobsAreRefused(@ForAll("replacements") List<Replacement> replacements)
            throws SessionException {
        assertRefused("/v1/jobs", applyAll(JOB, replacements));
    }

    private static String applyAll(String body, List<Replacement> replacements) {
        String result = body;
        for (Replacement replacement : replacements) {
            result = replacement.apply(result);
        }
        return result;
    }

    private static void assertRefused(String path, String body) throws SessionException {
        LocalDeployment.Reply reply = local.send("POST", local.callers("entry-1") + path, body);
        assertTrue(reply.status() >= 400 && reply.status() < 500, body + " " + reply);
        assertEquals("NOT_RUN", reply.text("verdict"), body + " " + reply);
        assertEquals(List.of(), local.worker("w1").requestPayloads());
        assertEquals(List.of(), local.worker("w1").startedJobs());
    }
}
