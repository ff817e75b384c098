package io.cardamomshelf.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.cardamomshelf.core.Fixtures;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests each row of the decision table of a gang, and that a gang with a lost member never
 * continues.
 */
class GangTableTest {

    private static final JobId JOB = Fixtures.job(1);
    private static final Placement PLACEMENT =
            new Placement(
                    Fixtures.DATA_CENTRE,
                    List.of(
                            new Slice(Fixtures.worker(0, 0).id(), 0xff),
                            new Slice(Fixtures.worker(0, 1).id(), 0xff)));

    private static GangAction decide(String leadState, String otherState) {
        return GangDecisionTable.decide(
                JOB, PLACEMENT, List.of(member(0, leadState), member(1, otherState)));
    }

    private static GangDecisionTable.Member member(int index, String state) {
        GangDecisionTable.ReportAge sight =
                switch (state) {
                    case "STALE" -> GangDecisionTable.ReportAge.STALE;
                    case "GONE" -> GangDecisionTable.ReportAge.GONE;
                    default -> GangDecisionTable.ReportAge.FRESH;
                };
        Optional<Lease> lease =
                List.of("STALE", "GONE", "ABSENT").contains(state)
                        ? Optional.empty()
                        : Optional.of(lease(LeaseState.valueOf(state)));
        return new GangDecisionTable.Member(Fixtures.worker(0, index).id(), sight, lease);
    }

    private static Lease lease(LeaseState state) {
        GangNote note =
                new GangNote(JOB, Fixtures.spec(OrganisationId.of("a"), 16), PLACEMENT, List.of());
        return new Lease(JOB, 1, 0xff, state, 1_000, note);
    }

    @ParameterizedTest
    @CsvSource({
        "HELD, HELD, NONE",
        "HELD, ABSENT, STOP",
        "COMMITTED, HELD, START",
        "COMMITTED, ABSENT, STOP",
        "COMMITTED, STALE, NONE",
        "COMMITTED, GONE, STOP",
        "RUNNING, HELD, START",
        "RUNNING, RUNNING, RENEW",
        "RUNNING, DONE, RENEW",
        "RUNNING, ABSENT, STOP",
        "RUNNING, FAILED, STOP",
        "RUNNING, STALE, NONE",
        "ABSENT, RUNNING, STOP",
        "DONE, DONE, FINISH",
        "DONE, ABSENT, STOP",
        "ABSENT, ABSENT, NONE"
    })
    void returnsTheActionOfEachRow(String lead, String other, GangAction action) {
        assertEquals(action, decide(lead, other));
    }

    @Nested
    class LostMember {

        @Test
        void neverLetsTheGangContinue() {
            List<String> lostStates = List.of("ABSENT", "GONE", "FAILED");
            List<GangAction> actions = new ArrayList<>();
            for (LeaseState state : LeaseState.values()) {
                for (String lost : lostStates) {
                    actions.add(decide(state.name(), lost));
                    actions.add(decide(lost, state.name()));
                }
            }
            actions.forEach(
                    action -> {
                        assertNotEquals(GangAction.RENEW, action);
                        assertNotEquals(GangAction.START, action);
                        assertNotEquals(GangAction.FINISH, action);
                    });
        }
    }
}
