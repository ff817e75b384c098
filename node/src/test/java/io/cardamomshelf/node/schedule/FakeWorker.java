package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.WorkerLists;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.port.WorkerOrders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The runs, the lease and the fencing token of one incarnation of a worker, which is also the
 * connection to it.
 */
final class FakeWorker implements WorkerOrders.Connection {
    /** The incarnation, which need not rise with a restart. */
    final long bornMillis;

    /** When its clock was at 0, on the test's monotonic clock. */
    final long clockStartMillis;

    final Map<TaskId, Long> running = new HashMap<>();
    final List<WorkerLists.Ended> ended = new ArrayList<>();

    /**
     * The highest run number of each task that was started or stopped. A start of a run needs a
     * higher number; a repeated start of a current run succeeds.
     */
    final Map<TaskId, Long> highestRuns = new HashMap<>();

    long highestToken;
    long leaseEndMillis;
    long lastEndNumber;
    long lastListedEnd;
    int renewals;

    /** The lease ends of all renewals, in the order in which they were sent. */
    final List<OptionalLong> renewedLeaseEnds = new ArrayList<>();

    FakeWorker(long bornMillis, long clockStartMillis) {
        this.bornMillis = bornMillis;
        this.clockStartMillis = clockStartMillis;
    }
}
