/** The interfaces to the platform, which an adapter for that platform implements. */
package io.cardamomshelf.node.port;
