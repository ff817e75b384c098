package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that log lines which clients cause are bounded, and counters aren't. */
class BoundedLogTest {

    private final VirtualTime time = new VirtualTime();

    /** Guards against a line for each refused request of a flood. */
    @Test
    void linesOfAnEventAreLimitedPerSecond() {
        EventLimiter events = new EventLimiter(time);
        AtomicInteger lines = new AtomicInteger();
        for (int second = 0; second < 3; second++) {
            for (int i = 0; i < 1_000; i++) {
                events.write(
                        NodeEvent.CALL_REFUSED,
                        line -> {
                            lines.incrementAndGet();
                            return line;
                        });
            }
            time.advance(1_000);
        }
        assertEquals(3 * EventLimiter.MAX_LINES_PER_SECOND, lines.get());
    }

    /** Guards against no line at all, and against one for each time. */
    @Test
    void exceededLimitsGiveOneLineInTheInterval() {
        List<Long> delays = new ArrayList<>();
        LimitReporter reporter =
                new LimitReporter(
                        time,
                        (delayMillis, task) -> {
                            delays.add(delayMillis);
                            time.after(delayMillis, task);
                        },
                        new ServiceMetrics());
        for (int i = 0; i < 21; i++) {
            reporter.exceeded(CallerLimit.RATE);
            time.advance(1_000);
        }
        assertEquals(3, delays.size());
        assertEquals(LimitReporter.FIRST_DELAY_MILLIS, delays.get(0));
    }

    /** Guards against counters that miss what the log leaves out. */
    @Test
    void everyExceededLimitIsCounted() {
        ServiceMetrics metrics = new ServiceMetrics();
        LimitReporter reporter = new LimitReporter(time, time, metrics);
        for (int i = 0; i < 1_000; i++) {
            reporter.exceeded(CallerLimit.HEAD_TIME);
        }
        time.advance(LimitReporter.INTERVAL_MILLIS);
        assertEquals(
                1_000,
                metrics.registry().counter("cardamomshelf_callers_limited_head_time").getCount());
    }
}
