package io.cardamomshelf.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a dispatch round is worth its time. */
class RoundGateTest {

    private static final List<JobId> WAITING = List.of(JobId.of("j-1"), JobId.of("j-2"));
    private static final List<DataCentreId> SITES = List.of(DataCentreId.of("jhb-a"));
    private static final RoundGate.Sight SIGHT = new RoundGate.Sight(WAITING, 7, 3, SITES);

    private final RoundGate gate = new RoundGate();

    @BeforeEach
    void pass() {
        assertTrue(gate.isDue(SIGHT, 0), "the first");
        gate.passed(SIGHT, 0);
    }

    @Test
    void notIfNothingChangedForLessThanASecond() {
        assertFalse(gate.isDue(SIGHT, RoundGate.LONGEST_MILLIS - 1));
        assertTrue(gate.isDue(SIGHT, RoundGate.LONGEST_MILLIS));
    }

    @Test
    void atOnceIfJobsCellsListsOrDataCentresChanged() {
        List<JobId> more = List.of(JobId.of("j-1"), JobId.of("j-2"), JobId.of("j-3"));
        assertTrue(gate.isDue(new RoundGate.Sight(more, 7, 3, SITES), 1));
        assertTrue(gate.isDue(SIGHT.withFleetVersion(8), 1));
        assertTrue(gate.isDue(new RoundGate.Sight(WAITING, 7, 4, SITES), 1));
        assertTrue(gate.isDue(new RoundGate.Sight(WAITING, 7, 3, List.of()), 1));
    }
}
