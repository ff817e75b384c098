/** Callers: submissions, states, cancellations, readiness. */
package io.cardamomshelf.node.ingress;
