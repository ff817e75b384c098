package io.cardamomshelf.node;

import io.cardamomshelf.core.schedule.ClockReading;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock and timers that advance only when a test calls {@code advance}. */
public final class VirtualTime implements Clock, Timers {

    private record Task(long atMillis, long order, Runnable task) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    private long nowMillis = 1_000_000;
    private long order;
    private long suspendedMillis;

    @Override
    public ClockReading now() {
        return new ClockReading(nowMillis, nowMillis + suspendedMillis);
    }

    @Override
    public void after(long millis, Runnable task) {
        tasks.add(new Task(nowMillis + Math.max(0, millis), order++, task));
    }

    /** Lets the wall clock pass while the monotonic clock and all timers stand still. */
    public void suspend(long millis) {
        suspendedMillis += millis;
    }

    public void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task next = tasks.poll();
            nowMillis = next.atMillis();
            next.task().run();
        }
        nowMillis = endMillis;
    }
}
