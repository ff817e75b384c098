/** The entry instance: sockets, timers and HTTP around the core, all on one event loop. */
package io.cardamomshelf.entry;
