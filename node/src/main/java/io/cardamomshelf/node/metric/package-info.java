/** The service's metrics and the HTTP server that exports them. */
package io.cardamomshelf.node.metric;
