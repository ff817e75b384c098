package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.SpeedComparisons.Comparison;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how many comparisons, of which size, show that tasks interfere, and for how long. */
class InterferenceEvidenceTest {

    private static final long NOW_MILLIS = 1_000;

    private final InterferenceEvidence evidence = new InterferenceEvidence();

    /** Adds comparisons on the given number of workers, which take turns. */
    private void add(int samples, int workers, double slowdown) {
        for (int i = 0; i < samples; i++) {
            evidence.add(WorkerId.of("w" + i % workers), Math.log(slowdown), NOW_MILLIS);
        }
    }

    @Nested
    class Tasks {

        /** Guards against interference that a few large differences don't show. */
        @Test
        void interfereAfterSixLargeSlowdownsOnFourWorkers() {
            add(5, 4, 1.6);
            assertFalse(evidence.update(NOW_MILLIS));
            add(1, 4, 1.6);
            assertTrue(evidence.update(NOW_MILLIS));
            assertEquals(0.6, evidence.extraTimeShare(), 0.01);
        }

        /** Guards against small slowdowns that are assumed from a few comparisons. */
        @Test
        void interfereAfterManySmallSlowdowns() {
            add(12, 6, 1.2);
            assertFalse(evidence.update(NOW_MILLIS));
            add(20, 6, 1.2);
            assertTrue(evidence.update(NOW_MILLIS));
        }

        /** Guards against a verdict by chance, as tasks of a step differ by up to 30% in work. */
        @Test
        void dontInterfereByChance() {
            Random random = new Random(5);
            for (int i = 0; i < 2_000; i++) {
                double first = 0.7 + 0.6 * random.nextDouble();
                double second = 0.7 + 0.6 * random.nextDouble();
                evidence.add(WorkerId.of("w" + i % 7), Math.log(first / second), NOW_MILLIS);
                assertFalse(evidence.update(NOW_MILLIS));
            }
        }

        /** Guards against a slow worker that counts as interference. */
        @Test
        void dontInterfereIfOnlyOneWorkerShowsIt() {
            add(32, 3, 2);
            assertFalse(evidence.update(NOW_MILLIS));
        }

        /** Guards against kinds that are kept apart though nobody would notice. */
        @Test
        void dontInterfereBelowFifteenPercent() {
            add(32, 8, 1.14);
            assertFalse(evidence.update(NOW_MILLIS));
        }

        /** Guards against stalls that count as interference. */
        @Test
        void dontInterfereBecauseOfAStall() {
            add(15, 8, 1);
            add(1, 8, 100);
            assertFalse(evidence.update(NOW_MILLIS));
        }

        /** Guards against a verdict that stays after the slowdown has ended. */
        @Test
        void noLongerInterfereAfterComparisonsWithoutSlowdown() {
            add(8, 4, 1.6);
            assertTrue(evidence.update(NOW_MILLIS));
            add(30, 4, 1);
            evidence.update(NOW_MILLIS);
            assertFalse(evidence.isInterfering());
        }

        /** Guards against a verdict that outlasts its comparisons. */
        @Test
        void noLongerInterfereAfterTheRetention() {
            add(8, 4, 1.6);
            assertTrue(evidence.update(NOW_MILLIS));
            long endMillis = NOW_MILLIS + InterferenceEvidence.RETENTION_MILLIS;
            evidence.update(endMillis);
            assertTrue(evidence.isInterfering());
            evidence.update(endMillis + 1);
            assertFalse(evidence.isInterfering());
            assertTrue(evidence.isEmpty());
        }
    }

    @Nested
    class Images {

        /** Guards against memory that grows with the length of the images that clients name. */
        @Test
        void areShortenedButNotConfused() {
            String image = "registry/team/image:1";
            assertEquals(image, TaskKind.ofImage(image));
            String first = TaskKind.ofImage("a".repeat(100_000) + "1");
            String second = TaskKind.ofImage("a".repeat(100_000) + "2");
            assertTrue(first.length() <= 64 && !first.equals(second));
        }
    }

    @Nested
    class PairsOfKinds {

        private final Interference interference = new Interference();

        private void addPair(String slowed, int samples) {
            for (int i = 0; i < samples; i++) {
                WorkerId worker = WorkerId.of("w" + i % 4);
                Comparison comparison = new Comparison(slowed, "slowing", worker, Math.log(1.6));
                interference.record(comparison, NOW_MILLIS);
            }
        }

        /** Guards against memory that grows with the number of images that clients name. */
        @Test
        void areBoundedInNumber() {
            addPair("first", 8);
            interference.update(List.of(), Set.of(), NOW_MILLIS);
            assertEquals(1, interference.interferingPairs());
            for (int i = 0; i < 10_000; i++) {
                addPair("image" + i, 8);
            }
            interference.update(List.of(), Set.of(), NOW_MILLIS + 1_000);
            assertEquals(512, interference.interferingPairs());
            assertEquals(32, interference.takeNewPairs().size());
        }

        /** Guards against a line in the log for each comparison. */
        @Test
        void areReportedOnce() {
            addPair("first", 8);
            interference.update(List.of(), Set.of(), NOW_MILLIS + 1_000);
            assertEquals(
                    List.of(new InterferingPair("first", "slowing", 60, 8, 4, 1_000)),
                    interference.takeNewPairs());
            addPair("first", 8);
            interference.update(List.of(), Set.of(), NOW_MILLIS + 2_000);
            assertEquals(List.of(), interference.takeNewPairs());
        }
    }
}
