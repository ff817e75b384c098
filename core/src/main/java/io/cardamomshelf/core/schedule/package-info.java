/**
 * Decides which task starts on which worker and which run is stopped, for the elected scheduler.
 */
package io.cardamomshelf.core.schedule;
