package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.Scene.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.RunEnd;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Gangs beside a stream of small tasks that takes each gap as it opens. */
class ReservationsTest {

    private static final int GANG = 1;
    private static final int ACCELERATORS = 8;

    private final Scene scene = new Scene();
    private final Deque<Order.Start> small = new ArrayDeque<>();
    private int nextJob = 100;
    private boolean gangStarted;

    @BeforeEach
    void fill() {
        scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
        arrive(2 * ACCELERATORS);
        assertEquals(2 * ACCELERATORS, small.size());
    }

    private void arrive(int count) {
        scene.submit(nextJob++, 2, step(count, 1_000, 1_000, 1));
        take(scene.startAll());
    }

    private void take(List<Order.Start> starts) {
        for (Order.Start start : starts) {
            if (start.task().job().equals(Scene.job(GANG))) {
                gangStarted = true;
            } else {
                small.add(start);
            }
        }
    }

    /** Each second the two oldest small tasks end and two more arrive. */
    private void pass(int seconds) {
        for (int i = 0; i < seconds && !gangStarted; i++) {
            scene.pass(1_000);
            for (int ended = 0; ended < 2 && !small.isEmpty(); ended++) {
                end(small.poll());
            }
            arrive(2);
        }
    }

    private void end(Order.Start oldest) {
        WorkerLists.Running[] others =
                small.stream()
                        .filter(start -> start.worker().equals(oldest.worker()))
                        .map(start -> Scene.running(start.task(), start.run()))
                        .toArray(WorkerLists.Running[]::new);
        scene.end(oldest, RunEnd.DONE, others);
    }

    @Nested
    class AGang {

        @Test
        void startsOnceWhatRanBeforeItHasEnded() {
            scene.submit(GANG, 1, step(2, 52_000, 270_000, ACCELERATORS).gang());
            pass(11);
            assertTrue(gangStarted);
        }

        @Test
        void thatWantsARackGetsOneWithinItsPatience() {
            scene.submit(GANG, 1, step(2, 52_000, 270_000, ACCELERATORS).gang().rackLocal());
            pass(11);
            assertTrue(gangStarted);
        }

        @Test
        void thatFitsNowhereHoldsNothingBack() {
            scene.submit(GANG, 1, step(3, 52_000, 270_000, ACCELERATORS).gang());
            pass(5);
            assertEquals(2 * ACCELERATORS, small.size());
        }
    }

    @Nested
    class UrgentWork {

        @Test
        void passesAReservation() {
            scene.submit(GANG, 1, step(2, 52_000, 270_000, ACCELERATORS).gang());
            pass(4);
            scene.submit(9, 0, step(1, 1_000, 1_000, 2));
            assertEquals(1, scene.startAll().size());
        }
    }
}
