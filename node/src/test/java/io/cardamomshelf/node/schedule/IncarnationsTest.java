package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which incarnation of a worker counts as the current one. */
class IncarnationsTest {

    private final Incarnations incarnations = new Incarnations(10);

    private static WorkerInfo entry(long bornMillis) {
        return new WorkerInfo(
                WorkerId.of("w1"),
                bornMillis,
                "rota",
                Endpoint.parse("127.0.0.1:1"),
                DataCentreId.of("jhb-a"),
                "r1-1",
                List.of(),
                Resources.of(1_000, 1_000, 0),
                false,
                0,
                0);
    }

    @Nested
    class ConfirmedIncarnations {

        @Test
        void areCurrentThoughTheyWereBornEarlier() {
            incarnations.confirm(5);
            assertTrue(incarnations.isCurrent(5));
            assertTrue(incarnations.hasEnded(10));
        }

        @Test
        void haveTheirAnnouncedEntryReturned() {
            incarnations.announce(entry(5));
            assertTrue(incarnations.isUndecided());
            assertEquals(Optional.of(entry(5)), incarnations.confirm(5));
            assertFalse(incarnations.isUndecided());
        }

        /** Guards against an entry of an ended incarnation that is written late. */
        @Test
        void endTheAnnouncedOne() {
            incarnations.announce(entry(5));
            assertEquals(Optional.empty(), incarnations.confirm(10));
            assertTrue(incarnations.hasEnded(5));
            assertFalse(incarnations.hasEnded(10));
        }

        /** Guards against a worker that stays unknown once its end was shown in error. */
        @Test
        void haveNotEndedThoughTheyWereTakenForEnded() {
            incarnations.confirm(5);
            incarnations.confirm(10);
            assertFalse(incarnations.hasEnded(10));
            assertTrue(incarnations.hasEnded(5));
        }
    }

    @Nested
    class Entries {

        /** Guards against a worker whose entries are ignored though nothing shows its end. */
        @Test
        void doNotEndTheIncarnationBefore() {
            incarnations.begin(20);
            assertTrue(incarnations.isCurrent(20));
            assertFalse(incarnations.hasEnded(10));
            incarnations.confirm(20);
            assertTrue(incarnations.hasEnded(10));
        }

        @Test
        void changeTheVersionOnceForEachIncarnation() {
            long first = incarnations.version();
            assertTrue(incarnations.announce(entry(5)));
            long second = incarnations.version();
            assertTrue(second > first);
            assertFalse(incarnations.announce(entry(5)));
            assertEquals(second, incarnations.version());
            assertTrue(incarnations.announce(entry(6)));
            assertTrue(incarnations.version() > second);
        }
    }
}
