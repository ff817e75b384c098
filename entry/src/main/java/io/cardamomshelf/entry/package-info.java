/** The entry instance: sockets, timers and HTTP round the core, all on one event loop. */
package io.cardamomshelf.entry;
