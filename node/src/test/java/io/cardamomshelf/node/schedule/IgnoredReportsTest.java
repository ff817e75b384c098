package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.node.schedule.IgnoredReports.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which reports of other incarnations of a worker are logged. */
class IgnoredReportsTest {

    private final IgnoredReports reports = new IgnoredReports(WorkerId.of("w1"));

    @Nested
    class Reports {

        /** Guards against a line for each call to a worker whose lists aren't used. */
        @Test
        void ofTheSameIncarnationsAreLoggedOnce() {
            assertTrue(reports.add(Kind.LISTS, 5, 7));
            assertFalse(reports.add(Kind.LISTS, 5, 7));
            assertFalse(reports.add(Kind.LISTS, 5, 7));
        }

        @Test
        void areLoggedIfAnIncarnationChanges() {
            assertTrue(reports.add(Kind.LISTS, 5, 7));
            assertTrue(reports.add(Kind.LISTS, 6, 7));
            assertTrue(reports.add(Kind.LISTS, 6, 8));
        }

        @Test
        void ofEachKindAreLogged() {
            assertTrue(reports.add(Kind.LISTS, 5, 7));
            assertTrue(reports.add(Kind.ENTRY, 5, 7));
            assertFalse(reports.add(Kind.LISTS, 5, 7));
        }
    }
}
