/** The HTTP servers for callers' job requests and for the platform's readiness check. */
package io.cardamomshelf.node.ingress;
