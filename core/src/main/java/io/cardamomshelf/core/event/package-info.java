/** Numbered events, the hybrid logical clock that orders them, and the ring that keeps them. */
package io.cardamomshelf.core.event;
