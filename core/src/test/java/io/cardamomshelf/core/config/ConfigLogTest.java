package io.cardamomshelf.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Checks that an accepted configuration never reverts, and that all instances accept the same one
 * of two conflicting edits.
 */
class ConfigLogTest {

    private static final EntryKey KEY = EntryKey.dataCentre(DataCentreId.of("jhb-a"));

    private static ConfigLog.LoggedRecord edit(long offset, String id, long basedOn, boolean open) {
        Change change = new Change(KEY, basedOn, Optional.of(new Availability(open, "")));
        Edit edit = new Edit(Edit.FORMAT, id, "test", List.of(change));
        return new ConfigLog.LoggedRecord(offset, new ConfigRecord.EditRecord(edit));
    }

    private static FoldResult.Status status(ConfigLog log, ConfigLog.LoggedRecord logged) {
        return log.fold(1, List.of(logged)).get(0).result().status();
    }

    @Nested
    class ConflictingEdits {

        @Test
        void theFirstOfTwoBasedOnOneVersionIsAccepted() {
            ConfigLog log = new ConfigLog();
            assertEquals(FoldResult.Status.ACCEPTED, status(log, edit(1, "e-1", 0, false)));
            assertEquals(FoldResult.Status.CONFLICT, status(log, edit(2, "e-2", 0, true)));
            assertFalse(log.state().isOpen(DataCentreId.of("jhb-a")));
            assertEquals(2, log.state().offset());
        }

        @Test
        void aRepeatedAppendIsAppliedOnce() {
            ConfigLog log = new ConfigLog();
            status(log, edit(1, "e-1", 0, false));
            status(log, edit(2, "e-2", 1, true));
            assertEquals(FoldResult.Status.REPEATED, status(log, edit(3, "e-1", 0, false)));
            assertTrue(log.state().isOpen(DataCentreId.of("jhb-a")));
        }

        @Test
        void anUnknownFormatIsRefused() {
            Change change = new Change(KEY, 0, Optional.of(new Availability(false, "")));
            Edit edit = new Edit(Edit.FORMAT + 1, "e-1", "test", List.of(change));
            FoldResult result = ConfigState.EMPTY.fold(1, edit);
            assertEquals(FoldResult.Status.UNKNOWN_FORMAT, result.status());
            assertEquals(1, result.state().offset());
        }
    }

    @Nested
    class Gaps {

        @Test
        void keepTheOldStateUntilTheyAreClosed() {
            ConfigLog log = new ConfigLog();
            log.fold(1, List.of(edit(1, "e-1", 0, false)));
            log.fold(5, List.of(edit(5, "e-5", 4, true)));
            assertTrue(log.hasGap());
            assertEquals(1, log.state().offset());
            assertFalse(log.state().isOpen(DataCentreId.of("jhb-a")));
        }

        @Test
        void areClosedByASnapshotAmongTheRemainingRecords() {
            ConfigLog complete = new ConfigLog();
            complete.fold(1, List.of(edit(1, "e-1", 0, false), edit(2, "e-2", 1, true)));
            ConfigLog late = new ConfigLog();
            ConfigRecord snapshot = new ConfigRecord.SnapshotRecord(complete.state());
            late.fold(
                    3, List.of(new ConfigLog.LoggedRecord(3, snapshot), edit(4, "e-4", 2, false)));
            assertFalse(late.hasGap());
            assertEquals(4, late.state().offset());
            assertFalse(late.state().isOpen(DataCentreId.of("jhb-a")));
        }

        @Test
        void aPeersOlderStateIsNotAdopted() {
            ConfigLog log = new ConfigLog();
            log.fold(1, List.of(edit(1, "e-1", 0, false)));
            assertFalse(log.adopt(ConfigState.EMPTY));
            assertEquals(1, log.state().offset());
        }
    }

    @Property(tries = 200, seed = "4712")
    void stateDoesNotDependOnHowRecordsAreSplitIntoPages(@ForAll long seed) {
        Random random = new Random(seed);
        List<ConfigLog.LoggedRecord> records = new ArrayList<>();
        for (long offset = 1; offset <= 60; offset++) {
            String id = "e-" + random.nextInt(50);
            records.add(edit(offset, id, random.nextInt((int) offset), random.nextBoolean()));
        }
        ConfigLog atOnce = new ConfigLog();
        atOnce.fold(1, records);
        ConfigLog inPages = new ConfigLog();
        long highest = 0;
        while (inPages.state().offset() < 60) {
            int from = Math.max(0, (int) inPages.state().offset() - random.nextInt(5));
            int to = Math.min(60, from + 1 + random.nextInt(12));
            inPages.fold(1, records.subList(from, to));
            assertTrue(inPages.state().offset() >= highest, "the offset of the state decreased");
            highest = inPages.state().offset();
        }
        assertEquals(atOnce.state(), inPages.state());
    }

    @Test
    void anEditWithARepeatedKeyIsRefused() {
        Change change = new Change(KEY, 0, Optional.empty());
        List<Change> repeated = List.of(change, change);
        IllegalArgumentException exception =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> new Edit(Edit.FORMAT, "e-1", "test", repeated));
        assertEquals("changes: dataCentres/jhb-a appears twice", exception.getMessage());
    }
}
