package io.cardamomshelf.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks when a dispatch round is due. */
class DispatchTriggerTest {

    private static final List<JobId> WAITING = List.of(JobId.of("j-1"), JobId.of("j-2"));
    private static final List<DataCentreId> DATA_CENTRES = List.of(DataCentreId.of("jhb-a"));
    private static final DispatchTrigger.Inputs INPUTS =
            new DispatchTrigger.Inputs(WAITING, 7, 3, DATA_CENTRES);

    private final DispatchTrigger trigger = new DispatchTrigger();

    @BeforeEach
    void recordFirstRound() {
        assertTrue(trigger.isDue(INPUTS, 0), "the first round is due");
        trigger.recordRound(INPUTS, 0);
    }

    @Test
    void isNotDueWithinOneSecondWithoutChange() {
        assertFalse(trigger.isDue(INPUTS, DispatchTrigger.MAX_INTERVAL_MILLIS - 1));
        assertTrue(trigger.isDue(INPUTS, DispatchTrigger.MAX_INTERVAL_MILLIS));
    }

    @Test
    void isDueAtOnceWhenJobsFleetConfigOrDataCentresChange() {
        List<JobId> more = List.of(JobId.of("j-1"), JobId.of("j-2"), JobId.of("j-3"));
        assertTrue(trigger.isDue(new DispatchTrigger.Inputs(more, 7, 3, DATA_CENTRES), 1));
        assertTrue(trigger.isDue(INPUTS.withFleetVersion(8), 1));
        assertTrue(trigger.isDue(new DispatchTrigger.Inputs(WAITING, 7, 4, DATA_CENTRES), 1));
        assertTrue(trigger.isDue(new DispatchTrigger.Inputs(WAITING, 7, 3, List.of()), 1));
    }
}
