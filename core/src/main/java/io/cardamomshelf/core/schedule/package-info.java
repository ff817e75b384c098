/** Decides which task runs where and which run is stopped, from what workers and callers said. */
package io.cardamomshelf.core.schedule;
