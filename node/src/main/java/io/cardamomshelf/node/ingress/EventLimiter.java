package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Writes the log lines of events that clients can cause at will, and leaves out those beyond a
 * number per second; the next line says how many.
 *
 * <p>Use: {@code events.write(NodeEvent.CALL_REFUSED, line -> line.with("status", 404))}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class EventLimiter {

    /** The maximum number of lines of one event a second, some times the usual number. */
    static final int MAX_LINES_PER_SECOND = 20;

    private static final long SECOND_MILLIS = 1_000;

    private static final class Count {
        private long sinceMillis;
        private int written;
        private long omitted;
    }

    private final Clock clock;
    private final Map<NodeEvent, Count> counts = new EnumMap<>(NodeEvent.class);

    EventLimiter(Clock clock) {
        this.clock = clock;
    }

    /** Writes a line with the fields that are added to it, unless there are too many lines. */
    void write(NodeEvent event, UnaryOperator<EventLog> fields) {
        Count count = counts.computeIfAbsent(event, key -> new Count());
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - count.sinceMillis >= SECOND_MILLIS) {
            count.sinceMillis = nowMillis;
            count.written = 0;
        }
        if (count.written >= MAX_LINES_PER_SECOND) {
            count.omitted++;
            return;
        }
        count.written++;
        EventLog line = fields.apply(EventLog.of(event));
        if (count.omitted > 0) {
            line = line.with("omitted", count.omitted);
            count.omitted = 0;
        }
        line.write();
    }
}
