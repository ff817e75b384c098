package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.node.port.Configuration.Route;

/**
 * Whether a call may be made, as far as its head tells.
 *
 * @param route the queue that the call is for, null if it is refused
 * @param organisation the organisation whose key the call carries, null if it is refused
 * @param status the HTTP status of a refusal, 0 if the call is accepted
 * @param reason the reason of a refusal, empty if the call is accepted
 */
record Authorisation(Route route, OrganisationId organisation, int status, String reason) {

    static Authorisation accepted(Route route, OrganisationId organisation) {
        return new Authorisation(route, organisation, 0, "");
    }

    static Authorisation refused(int status, String reason) {
        return new Authorisation(null, null, status, reason);
    }

    boolean isAccepted() {
        return status == 0;
    }
}
