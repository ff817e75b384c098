package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.node.port.WorkerOrders.Acknowledgement;
import java.util.Optional;

/**
 * A renewal that was sent to a worker, with what was known then: when it was sent, how long the
 * worker may wait, the current incarnation, the version of {@link Incarnations} and the
 * acknowledgement.
 */
record SentRenewal(
        ClockReading sentAt,
        long waitMillis,
        long bornMillis,
        long version,
        Optional<Acknowledgement> acknowledgement) {}
