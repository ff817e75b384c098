package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.node.port.Configuration.Route;
import io.vertx.mutiny.core.buffer.Buffer;

/**
 * A call that was let in.
 *
 * @param route its queue, not null
 * @param organisation whose key it carries, not null
 * @param name the path after the queue's prefix: a job's identifier, or empty
 * @param body the body, not null
 * @param untilMillis when its caller's time is up, on the steady clock
 */
record Call(Route route, OrganisationId organisation, String name, Buffer body, long untilMillis) {}
