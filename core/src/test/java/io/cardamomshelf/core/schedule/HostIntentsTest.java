package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunHosts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which workers may be used, and which are waited for. */
class HostIntentsTest {

    private static final WorkerId ONE = WorkerId.of("w1");
    private static final WorkerId TWO = WorkerId.of("w2");

    private static HostIntents fresh() {
        return new HostIntents(Optional.empty(), false);
    }

    private static HostIntents inherited(RunHosts hosts, WorkerId... unseen) {
        HostIntents names = new HostIntents(Optional.of(hosts), true);
        names.inheritFrom(Set.of(unseen));
        return names;
    }

    @Nested
    class Use {

        @Test
        void isAllowedOnceTheNameIsStored() {
            HostIntents names = fresh();
            assertTrue(names.want(List.of(ONE), 0));
            names.send(List.of());
            assertFalse(names.covers(List.of(ONE)));
            names.stored();
            assertTrue(names.covers(List.of(ONE)));
            assertFalse(names.covers(List.of(ONE, TWO)));
        }

        @Test
        void asksForARecordOnce() {
            HostIntents names = fresh();
            names.want(List.of(ONE), 0);
            names.send(List.of());
            assertFalse(names.want(List.of(ONE), 0));
            assertTrue(names.want(List.of(TWO), 0));
        }

        @Test
        void endsWithTheRecordThatLeavesTheNameOutBeforeThatIsStored() {
            HostIntents names = fresh();
            names.want(List.of(ONE), 0);
            names.send(List.of());
            names.stored();
            names.used(List.of(TWO));
            names.send(List.of());
            assertFalse(names.covers(List.of(ONE)));
        }

        @Test
        void needsTheNameInEveryRecordThatMayBecomeTheNewest() {
            HostIntents names = fresh();
            names.want(List.of(ONE), 0);
            names.send(List.of());
            names.stored();
            names.used(List.of(TWO));
            names.send(List.of());
            names.want(List.of(ONE), 0);
            names.send(List.of());
            names.stored();
            assertFalse(names.covers(List.of(ONE)));
            names.stored();
            assertTrue(names.covers(List.of(ONE)));
        }

        @Test
        void goesOnWhileRunsAreThere() {
            HostIntents names = fresh();
            names.want(List.of(ONE), 0);
            names.send(List.of());
            names.stored();
            names.used(List.of(TWO));
            assertEquals(RunHosts.of(List.of(ONE, TWO)), names.send(List.of(ONE)));
            assertTrue(names.covers(List.of(ONE)));
        }

        @Test
        void isAllowedAnywhereOnceThatIsStored() {
            HostIntents names = fresh();
            assertTrue(names.wantAnywhere());
            names.send(List.of());
            assertFalse(names.covers(List.of(ONE)));
            names.stored();
            assertTrue(names.covers(List.of(ONE)));
            assertEquals(RunHosts.ANYWHERE, names.send(List.of(ONE)));
        }

        @Test
        void isAllowedAnywhereWhenTooManyAreNamed() {
            HostIntents names = fresh();
            List<WorkerId> many = new ArrayList<>();
            for (int i = 0; i < 33; i++) {
                many.add(WorkerId.of("w" + i));
            }
            names.want(many, 0);
            assertEquals(RunHosts.ANYWHERE, names.send(List.of()));
        }
    }

    @Nested
    class Doubt {

        @Test
        void isAboutSilentWorkersThatAreNamed() {
            HostIntents names = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(names.isInDoubt(false));
            names.accountedFor(ONE);
            assertFalse(names.isInDoubt(false));
        }

        @Test
        void isNoneIfOnlyOthersAreSilent() {
            assertFalse(inherited(RunHosts.of(List.of(ONE)), TWO).isInDoubt(false));
        }

        @Test
        void isAboutEveryWorkerIfAnyMayHaveRuns() {
            HostIntents names = inherited(RunHosts.ANYWHERE, ONE);
            names.accountedFor(ONE);
            assertTrue(names.isInDoubt(false));
            assertFalse(names.isInDoubt(true));
        }

        @Test
        void isNoneAboutWorkersThatThisSchedulerNames() {
            HostIntents names = inherited(RunHosts.of(List.of(ONE)), TWO);
            names.wantAnywhere();
            assertFalse(names.isInDoubt(false));
        }

        @Test
        void isNoneIfNothingIsStored() {
            assertFalse(new HostIntents(Optional.empty(), true).isInDoubt(false));
        }

        @Test
        void staysInWhatIsStoredNext() {
            HostIntents names = inherited(RunHosts.of(List.of(ONE, TWO)), ONE);
            assertTrue(names.send(List.of()).containsAll(List.of(ONE)));
        }
    }
}
