package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts how often each limit was exceeded, and writes one log line for many times.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class LimitReporter {

    /** The minimum interval between two lines, in milliseconds. */
    static final long INTERVAL_MILLIS = 10_000;

    /** The delay of the first line, so that it sums up the start of a flood, in milliseconds. */
    static final long FIRST_DELAY_MILLIS = 500;

    private final Clock clock;
    private final Timers timers;
    private final ServiceMetrics metrics;
    private final Map<CallerLimit, Long> unreported = new EnumMap<>(CallerLimit.class);
    private long nextLineMillis = Long.MIN_VALUE / 2;

    LimitReporter(Clock clock, Timers timers, ServiceMetrics metrics) {
        this.clock = clock;
        this.timers = timers;
        this.metrics = metrics;
    }

    void exceeded(CallerLimit limit) {
        metrics.count(Name.CALLERS_LIMITED, limit);
        boolean isLineDue = !unreported.isEmpty();
        unreported.merge(limit, 1L, Long::sum);
        if (!isLineDue) {
            long nowMillis = clock.monotonicMillis();
            timers.after(Math.max(FIRST_DELAY_MILLIS, nextLineMillis - nowMillis), this::writeLine);
        }
    }

    private void writeLine() {
        nextLineMillis = clock.monotonicMillis() + INTERVAL_MILLIS;
        EventLog line = EventLog.of(NodeEvent.CALLERS_LIMITED);
        unreported.forEach(
                (limit, times) -> line.with(limit.name().toLowerCase(Locale.ROOT), times));
        unreported.clear();
        line.write();
    }
}
