package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests since when an incarnation of a worker is known to be up. */
class ObservedRestartsTest {

    private static final WorkerId W1 = WorkerId.of("w1");

    private final ObservedRestarts restarts = new ObservedRestarts();

    private static WorkerInfo entry(String name, long bornMillis) {
        return new WorkerInfo(
                WorkerId.of(name),
                bornMillis,
                "rota",
                Endpoint.parse("127.0.0.1:1"),
                DataCentreId.of("jhb-a"),
                "r1-1",
                List.of(),
                Resources.of(1, 1, 1),
                false,
                0,
                0);
    }

    @Nested
    class AnIncarnation {

        @Test
        void isYoungOnceItsEntryReplacesThatOfAnotherOne() {
            restarts.record(entry("w1", 2), 1_000);
            restarts.record(entry("w1", 1), 3_000);
            restarts.record(entry("w1", 1), 5_000);
            assertEquals(3_000, restarts.startedMillis(W1));
        }

        @Test
        void thatWasTheFirstOneSeenHasBeenUpForLong() {
            restarts.record(entry("w1", 1), 1_000);
            restarts.record(entry("w1", 1), 3_000);
            assertEquals(ObservedRestarts.LONG_AGO_MILLIS, restarts.startedMillis(W1));
            assertEquals(
                    ObservedRestarts.LONG_AGO_MILLIS, restarts.startedMillis(WorkerId.of("w2")));
        }

        @Test
        void isYoungThoughTheEntryOfTheEarlierOneWasRemovedBefore() {
            restarts.record(entry("w1", 1), 1_000);
            restarts.record(entry("w2", 1), 61_000);
            restarts.record(entry("w1", 2), 61_000);
            assertEquals(61_000, restarts.startedMillis(W1));
        }

        @Test
        void isForgottenAWhileAfterItsLastEntry() {
            restarts.record(entry("w1", 1), 1_000);
            restarts.record(entry("w1", 2), 2_000);
            restarts.record(entry("w2", 1), 62_001);
            assertEquals(ObservedRestarts.LONG_AGO_MILLIS, restarts.startedMillis(W1));
        }
    }
}
