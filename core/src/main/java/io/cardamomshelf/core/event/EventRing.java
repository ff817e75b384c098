package io.cardamomshelf.core.event;

import io.cardamomshelf.core.base.Checks;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * A ring buffer of the latest events of one instance.
 *
 * <p>Use: {@code ring.add(event)}, and {@code ring.select(event -> event.isAbout(id))} to read.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class EventRing {

    private static final int MAX_CAPACITY = 1_000_000;

    private final int capacity;
    private final Deque<Event> events = new ArrayDeque<>();
    private long dropped;

    /**
     * Creates an empty ring.
     *
     * @param capacity the largest number of events kept, 1 to 1,000,000
     * @throws IllegalArgumentException if the capacity is out of range
     */
    public EventRing(int capacity) {
        this.capacity = (int) Checks.range("capacity", capacity, 1, MAX_CAPACITY);
    }

    /**
     * Adds an event. Drops the oldest one if the ring is full.
     *
     * @param event the event, not null
     */
    public void add(Event event) {
        if (events.size() == capacity) {
            events.removeFirst();
            dropped++;
        }
        events.addLast(event);
    }

    /**
     * Returns the number of events that were dropped to add newer ones.
     *
     * @return the number, from 0
     */
    public long dropped() {
        return dropped;
    }

    /**
     * Returns the events that match a condition, oldest first.
     *
     * @param condition the condition, not null
     * @return the events, never null
     */
    public List<Event> select(Predicate<Event> condition) {
        return events.stream().filter(condition).toList();
    }
}
