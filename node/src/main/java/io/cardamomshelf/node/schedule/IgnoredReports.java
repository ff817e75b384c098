package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * Logs the entries and the lists of a worker that aren't used, as they are of another incarnation
 * than the current one. Repeats with the same two incarnations are left out.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class IgnoredReports {

    /** What reports an incarnation of a worker. */
    enum Kind {
        ENTRY,
        LISTS
    }

    private record Incarnations(long reportedBornMillis, long currentBornMillis) {}

    private final WorkerId worker;
    private final Map<Kind, Incarnations> logged = new HashMap<>();

    IgnoredReports(WorkerId worker) {
        this.worker = worker;
    }

    /**
     * Logs a report, unless the last one of its kind had the same incarnations. Returns whether it
     * was logged.
     */
    boolean add(Kind kind, long reportedBornMillis, long currentBornMillis) {
        Incarnations incarnations = new Incarnations(reportedBornMillis, currentBornMillis);
        if (incarnations.equals(logged.put(kind, incarnations))) {
            return false;
        }
        EventLog.of(NodeEvent.WORKER_REPORT_IGNORED)
                .with("worker", worker)
                .with("report", kind)
                .with("bornMillis", reportedBornMillis)
                .with("currentBornMillis", currentBornMillis)
                .write();
        return true;
    }
}
