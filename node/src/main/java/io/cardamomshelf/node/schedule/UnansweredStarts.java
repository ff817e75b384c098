package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The starts sent to one worker that got no answer and may still be carried out there, by whichever
 * incarnation they reach.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class UnansweredStarts {

    private record Attempt(Order.Start start, long sentMillis) {}

    private final Deque<Attempt> attempts = new ArrayDeque<>();

    /** Adds an attempt that was sent at this time on the monotonic clock, in milliseconds. */
    void add(Order.Start start, long sentMillis) {
        attempts.addLast(new Attempt(start, sentMillis));
    }

    /** Returns the starts that may still be carried out, each one once, oldest first. */
    Set<Order.Start> at(long nowMillis) {
        long oldestMillis = nowMillis - LeaseClock.MAX_CALL_DELAY_MILLIS;
        attempts.removeIf(attempt -> attempt.sentMillis() < oldestMillis);
        Set<Order.Start> starts = new LinkedHashSet<>();
        attempts.forEach(attempt -> starts.add(attempt.start()));
        return starts;
    }
}
