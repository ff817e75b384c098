/**
 * Numbered events, the hybrid logical clock that orders them, and the ring buffer of the latest
 * events.
 */
package io.cardamomshelf.core.event;
