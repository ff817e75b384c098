package io.cardamomshelf.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks the order of organisations and the early refusal of requests. */
class FairQueueTest {

    private static final OrganisationId BUSY = OrganisationId.of("busy");
    private static final OrganisationId QUIET = OrganisationId.of("quiet");
    private static final long LONG_WAIT_MILLIS = 1_000_000;

    private final FairQueue<String> queue = new FairQueue<>();

    private void offer(OrganisationId organisation, int weight, int count) {
        for (int index = 0; index < count; index++) {
            String name = organisation + " " + index;
            assertTrue(queue.offer(organisation, weight, name, LONG_WAIT_MILLIS, 0));
        }
    }

    private List<String> startNext(int count) {
        List<String> started = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            queue.startNext(started::add, 0);
        }
        return started;
    }

    @Nested
    class Turns {

        @Test
        void areNotDelayedByAnotherOrganisationsBacklog() {
            offer(BUSY, 1, 100);
            startNext(50);
            offer(QUIET, 1, 2);
            List<String> started = startNext(4);
            assertTrue(started.containsAll(List.of("quiet 0", "quiet 1")), started.toString());
        }

        @Test
        void areProportionalToWeights() {
            offer(BUSY, 1, 100);
            offer(QUIET, 3, 100);
            long quiet = startNext(40).stream().filter(name -> name.startsWith("quiet")).count();
            assertEquals(30, quiet, 1);
        }

        @Test
        void passToOthersWhenTheOldestRequestCannotStart() {
            offer(BUSY, 1, 1);
            offer(QUIET, 1, 1);
            assertTrue(queue.startNext(name -> name.startsWith("quiet"), 0));
            assertFalse(queue.startNext(name -> name.startsWith("quiet"), 0));
            assertEquals(1, queue.size());
        }

        @Test
        void startEachRequestOnceWhenAStartCallsStartNext() {
            offer(BUSY, 1, 2);
            List<String> started = new ArrayList<>();
            queue.startNext(
                    name -> {
                        queue.startNext(started::add, 0);
                        return started.add(name);
                    },
                    0);
            assertEquals(List.of("busy 1", "busy 0"), started);
            assertEquals(0, queue.size());
        }

        @Test
        void areNotAccumulatedWhileIdle() {
            offer(BUSY, 1, 100);
            startNext(60);
            offer(QUIET, 1, 30);
            long quiet = startNext(20).stream().filter(name -> name.startsWith("quiet")).count();
            assertEquals(10, quiet, 1);
        }
    }

    @Nested
    class Shedding {

        /** Starts 60 of 100 requests, one each 100 ms, so that the queue measures this rate. */
        private long startOneEach100Millis() {
            offer(BUSY, 1, 100);
            long now = 0;
            for (int index = 0; index < 60; index++) {
                now += 100;
                queue.startNext(name -> true, now);
            }
            return now;
        }

        @Test
        void refusesARequestThatCannotStartInTime() {
            long now = startOneEach100Millis();
            assertFalse(queue.offer(BUSY, 1, "late", 3_500, now), "the 40 requests ahead take 4 s");
            assertTrue(queue.offer(BUSY, 1, "in time", 4_500, now));
        }

        @Test
        void countsOnlyTurnsOfOthersThatComeFirst() {
            long now = startOneEach100Millis();
            assertTrue(
                    queue.offer(QUIET, 1, "soon", 300, now),
                    "its turn comes after one other request");
        }

        @Test
        void doesNotStartARemovedRequest() {
            offer(BUSY, 1, 1);
            assertTrue(queue.remove(BUSY, "busy 0"));
            assertFalse(queue.remove(BUSY, "busy 0"));
            assertFalse(queue.startNext(name -> true, 0));
        }
    }
}
