package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.node.port.Configuration.Route;
import io.vertx.mutiny.core.buffer.Buffer;

/**
 * A call whose route and organisation have been established.
 *
 * @param route the queue that the call is for, not null
 * @param organisation the organisation whose key the call carries, not null
 * @param pathSuffix the path after the queue's prefix: a job's identifier, not yet checked, or
 *     empty for the queue itself
 * @param body the body, not null
 * @param deadlineMillis when the call must be answered, in milliseconds on the monotonic clock
 */
record Call(
        Route route,
        OrganisationId organisation,
        String pathSuffix,
        Buffer body,
        long deadlineMillis) {}
