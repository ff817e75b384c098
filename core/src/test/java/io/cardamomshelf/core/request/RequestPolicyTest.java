package io.cardamomshelf.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks verdicts, retry budgets, limits, breakers, the choice of an upstream and key claims. */
class RequestPolicyTest {

    private static final DataCentreId NEAR = DataCentreId.of("jhb-a");
    private static final DataCentreId FAR = DataCentreId.of("cpt-a");

    @Nested
    class Verdicts {

        @Test
        void ofTwoAttemptsAreNotRunOnlyIfBothAreNotRun() {
            assertEquals(Verdict.NOT_RUN, Verdict.NOT_RUN.combine(Verdict.NOT_RUN));
            assertEquals(Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN.combine(Verdict.NOT_RUN));
            assertEquals(Verdict.RAN, Verdict.MAY_HAVE_RUN.combine(Verdict.RAN));
        }

        @Test
        void allowARetryIfNotRunOrIdempotent() {
            assertTrue(Verdict.NOT_RUN.isRetryable(false));
            assertFalse(Verdict.MAY_HAVE_RUN.isRetryable(false));
            assertTrue(Verdict.MAY_HAVE_RUN.isRetryable(true));
            assertFalse(Verdict.RAN.isRetryable(true));
        }
    }

    @Nested
    class Budget {

        @Test
        void limitsRetriesToAShareOfRequests() {
            RetryBudget budget = new RetryBudget(10, 10);
            int retries = 0;
            for (int request = 0; request < 10_000; request++) {
                budget.recordRequest();
                retries += budget.tryRetry() ? 1 : 0;
            }
            assertTrue(retries <= 10_000 / 10 + 10, "number of retries: " + retries);
        }
    }

    @Nested
    class Limit {

        @Test
        void shrinksOnFailureDownToOneAndGrowsOnSuccess() {
            ConcurrencyLimit limit = new ConcurrencyLimit(8);
            for (int failure = 0; failure < 20; failure++) {
                assertTrue(limit.tryAcquire());
                limit.release(false);
            }
            assertEquals(1, limit.limit());
            for (int success = 0; success < 100; success++) {
                assertTrue(limit.tryAcquire());
                limit.release(true);
            }
            assertEquals(8, limit.limit());
            assertEquals(0, limit.inFlight());
        }
    }

    @Nested
    class Ejection {

        @Test
        void allowsOneProbeAndDoublesThePauseAfterAFailedProbe() {
            Breaker breaker = new Breaker(2, 100);
            assertFalse(breaker.recordFailure(0));
            assertTrue(breaker.recordFailure(0));
            assertTrue(breaker.isOpen(99));
            assertFalse(breaker.isOpen(100));
            breaker.recordAttempt();
            assertTrue(breaker.isOpen(100), "only one probe is allowed at a time");
            assertFalse(breaker.recordFailure(100));
            assertTrue(breaker.isOpen(299));
            assertFalse(breaker.isOpen(300));
            breaker.recordSuccess();
            assertFalse(breaker.isEjected());
        }
    }

    @Nested
    class Choice {

        private final UpstreamChooser chooser = new UpstreamChooser(NEAR, "gauteng", 4);

        private WorkerId add(
                String name, DataCentreId dataCentre, String region, boolean draining) {
            chooser.put(WorkerId.of(name), dataCentre, region, draining);
            return WorkerId.of(name);
        }

        private Upstream choose(long now) {
            return chooser.choose(dataCentre -> true, Set.of(), now, new Random(1)).orElse(null);
        }

        @Test
        void prefersTheNearUpstreamWhileItHasAFreeSlot() {
            WorkerId near = add("near", NEAR, "gauteng", false);
            WorkerId far = add("far", FAR, "western-cape", false);
            for (int request = 0; request < 4; request++) {
                assertEquals(near, choose(0).worker());
            }
            assertEquals(far, choose(0).worker());
        }

        @Test
        void doesNotChooseADrainingUpstream() {
            add("draining", NEAR, "gauteng", true);
            assertEquals(null, choose(0));
        }

        @Test
        void avoidsAnUpstreamThatFailsFast() {
            WorkerId failing = add("failing", NEAR, "gauteng", false);
            for (int good = 0; good < 4; good++) {
                add("good-" + good, NEAR, "gauteng", false);
            }
            Random random = new Random(7);
            int sent = 0;
            for (int request = 0; request < 1_000; request++) {
                Upstream chosen =
                        chooser.choose(dataCentre -> true, new HashSet<>(), request, random)
                                .orElseThrow();
                boolean fails = chosen.worker().equals(failing);
                sent += fails ? 1 : 0;
                chooser.release(chosen, !fails, request);
            }
            assertTrue(sent <= 5, "requests sent to the failing upstream: " + sent);
        }
    }

    @Nested
    class Claims {

        @Test
        void firstClaimOfAKeyWins() {
            OrganisationId organisation = OrganisationId.of("a");
            ClaimTable table = new ClaimTable(2);
            table.fold(1, new ClaimRecord(organisation, "k", "r-1", InstanceId.of("entry-1")));
            table.fold(2, new ClaimRecord(organisation, "k", "r-2", InstanceId.of("entry-2")));
            assertEquals("r-1", table.winner(organisation, "k").orElseThrow().attempt());
            assertTrue(table.winner(OrganisationId.of("b"), "k").isEmpty());
        }
    }
}
