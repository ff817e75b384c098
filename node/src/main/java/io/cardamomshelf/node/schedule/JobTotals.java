package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.task.TaskId;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sums up the orders that a scheduler has given for one job.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobTotals {

    private long firstStartMillis = -1;
    private int starts;

    /** By run number, the rack of the first start; the members of a gang share a run number. */
    private final Map<Long, String> firstRackByRun = new HashMap<>();

    /** The numbers of the runs that were started in more than one rack. */
    private final Set<Long> spreadRuns = new HashSet<>();

    private final Map<Order.StopReason, Integer> stops = new EnumMap<>(Order.StopReason.class);

    /** When the latest run of each task was ordered. */
    private final Map<TaskId, Long> orderedMillis = new HashMap<>();

    private long stoppedRunMillis;

    void addStart(Order.Start start, String rack, long nowMillis) {
        if (firstStartMillis < 0) {
            firstStartMillis = nowMillis;
        }
        starts++;
        orderedMillis.put(start.task(), nowMillis);
        String firstRack = firstRackByRun.putIfAbsent(start.run(), rack);
        if (firstRack != null && !firstRack.equals(rack)) {
            spreadRuns.add(start.run());
        }
    }

    /** Adds a stop, and the age of the run, unless an earlier scheduler started it. */
    void addStop(Order.Stop stop, long nowMillis) {
        stops.merge(stop.reason(), 1, Integer::sum);
        Long startMillis = orderedMillis.remove(stop.task());
        stoppedRunMillis += startMillis == null ? 0 : nowMillis - startMillis;
    }

    /** When the first start was ordered, in milliseconds since 1970, -1 if there was none. */
    long firstStartMillis() {
        return firstStartMillis;
    }

    int starts() {
        return starts;
    }

    int spreadRuns() {
        return spreadRuns.size();
    }

    Map<Order.StopReason, Integer> stops() {
        return stops;
    }

    /** The summed age of the stopped runs, in milliseconds. */
    long stoppedRunMillis() {
        return stoppedRunMillis;
    }
}
