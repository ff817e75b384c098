package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which holders a full budget evicts and which it refuses. */
class ByteBudgetTest {

    private static final long LIMIT = 100_000;

    private static final class Body implements ByteBudget.Holder {
        private final List<Body> evicted;

        private Body(List<Body> evicted) {
            this.evicted = evicted;
        }

        @Override
        public void evict() {
            evicted.add(this);
        }
    }

    private final VirtualTime time = new VirtualTime();
    private final ByteBudget budget = new ByteBudget(LIMIT, time);
    private final List<Body> evicted = new ArrayList<>();

    private Body body() {
        return new Body(evicted);
    }

    private Body held(long bytes) {
        Body body = body();
        assertTrue(budget.hold(body, bytes));
        return body;
    }

    /** Guards against a budget that refuses the only request of an idle instance. */
    @Test
    void onlyHolderMayExceedTheLimit() {
        held(LIMIT + 1);
        assertEquals(LIMIT + 1, budget.heldBytes());
    }

    @Nested
    class WhenFull {

        /** Guards against bodies that are about to be complete and make room for newer ones. */
        @Test
        void newestIsRefusedWhileNoneIsSlow() {
            held(30_000);
            held(20_000);
            assertFalse(budget.hold(body(), 20_000));
            assertEquals(List.of(), evicted);
            assertEquals(50_000, budget.heldBytes());
        }

        /** Guards against stalled bodies that keep all others out. */
        @Test
        void slowestMakesRoom() {
            Body slowest = held(30_000);
            held(20_000);
            time.advance(ByteBudget.SLOW_MILLIS);
            held(20_000);
            assertEquals(List.of(slowest), evicted);
            assertEquals(40_000, budget.heldBytes());
        }

        /** Guards against large bodies that leave no room for usual ones. */
        @Test
        void usualBodyFitsBesideLargeOnes() {
            held(30_000);
            held(20_000);
            held(10_000);
            assertEquals(List.of(), evicted);
        }

        /** Guards against an eviction of a body that is being processed. */
        @Test
        void completeBodyStays() {
            Body complete = held(30_000);
            budget.keep(complete);
            held(20_000);
            time.advance(ByteBudget.SLOW_MILLIS);
            held(20_000);
            assertFalse(evicted.contains(complete));
            budget.release(complete);
            assertEquals(20_000, budget.heldBytes());
        }

        /** Guards against bytes that stay accounted after the slowest was refused itself. */
        @Test
        void slowestIsRefusedRatherThanOthersEvicted() {
            Body slowest = held(30_000);
            held(20_000);
            time.advance(ByteBudget.SLOW_MILLIS);
            assertFalse(budget.hold(slowest, 40_000));
            assertEquals(20_000, budget.heldBytes());
        }
    }
}
