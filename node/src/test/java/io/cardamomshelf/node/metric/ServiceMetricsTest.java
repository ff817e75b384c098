package io.cardamomshelf.node.metric;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import org.junit.jupiter.api.Test;

/** Tests metrics whose values come from a scheduler's term. */
class ServiceMetricsTest {

    private final ServiceMetrics metrics = new ServiceMetrics();

    /** Guards against a second term of a process that can't set the gauge of the first one. */
    @Test
    void aGaugeShowsTheValueThatWasSetLast() {
        metrics.set(Name.INTERFERING_PAIRS, 3);
        metrics.set(Name.INTERFERING_PAIRS, 0);
        String name = Name.INTERFERING_PAIRS.exportedName();
        assertEquals(0L, metrics.registry().getGauges().get(name).getValue());
    }

    /** Guards against a counter that falls when another term begins. */
    @Test
    void aCounterIsTheSumOfItsAmounts() {
        metrics.add(Name.STARTS_AVOIDING_INTERFERENCE, 2);
        metrics.add(Name.STARTS_AVOIDING_INTERFERENCE, 3);
        String name = Name.STARTS_AVOIDING_INTERFERENCE.exportedName();
        assertEquals(5, metrics.registry().getCounters().get(name).getCount());
    }
}
