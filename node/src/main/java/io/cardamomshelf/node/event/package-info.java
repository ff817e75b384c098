/** The numbered events of the logs. */
package io.cardamomshelf.node.event;
