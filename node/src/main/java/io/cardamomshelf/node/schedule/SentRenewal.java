package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.node.port.WorkerOrders.Acknowledgement;
import java.util.Optional;

/**
 * A renewal that was sent to a worker, with what was known then: when it was sent, whether it
 * grants a lease, how long the worker may wait, the current incarnation, the version of {@link
 * Incarnations} and the acknowledgement.
 */
record SentRenewal(
        ClockReading sentAt,
        boolean grantsLease,
        long waitMillis,
        long bornMillis,
        long version,
        Optional<Acknowledgement> acknowledgement) {}
