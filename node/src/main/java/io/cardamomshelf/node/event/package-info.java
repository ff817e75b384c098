/** The numbered events that the service logs. */
package io.cardamomshelf.node.event;
