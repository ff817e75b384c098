package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.WorkerOrders.RenewalReply;

/**
 * Logs the events of one worker, and counts the ends of its runs.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class WorkerEvents {

    private final WorkerId worker;
    private final ServiceMetrics metrics;

    WorkerEvents(WorkerId worker, ServiceMetrics metrics) {
        this.worker = worker;
        this.metrics = metrics;
    }

    /**
     * Records a restart; if the worker is lost now, its tasks wait for {@code leasesUnknownMillis}.
     */
    void restarted(long bornMillis, String shownBy, long leasesUnknownMillis) {
        event(NodeEvent.WORKER_RESTARTED)
                .with("bornMillis", bornMillis)
                .with("shownBy", shownBy)
                .with("leasesUnknownMillis", leasesUnknownMillis)
                .write();
    }

    void clockShowsRestart() {
        event(NodeEvent.WORKER_RESTARTED).with("shownBy", "its clock").write();
    }

    void silent(RenewalReply reply) {
        event(NodeEvent.WORKER_SILENT)
                .with("answer", reply.answer())
                .with("detail", reply.detail())
                .write();
    }

    void answers() {
        event(NodeEvent.WORKER_ANSWERS).write();
    }

    void lost(String cause) {
        event(NodeEvent.WORKER_LOST).with("cause", cause).write();
    }

    /** Records the listed ends that are later than the last one that was known. */
    void runsEnded(WorkerLists lists, long lastEndNumber) {
        for (WorkerLists.Ended ended : lists.ended()) {
            if (ended.number() > lastEndNumber) {
                metrics.count(Name.RUN_ENDS, ended.end());
                EventLog.of(NodeEvent.RUN_ENDED)
                        .with("task", ended.task())
                        .with("run", ended.run())
                        .with("worker", worker)
                        .with("end", ended.end())
                        .write();
            }
        }
    }

    private EventLog event(NodeEvent event) {
        return EventLog.of(event).with("worker", worker);
    }
}
