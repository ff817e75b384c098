package io.cardamomshelf.core.config;

/**
 * The value of an entry of the two lists (plans; grants and data centres).
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public sealed interface ListValue permits Plan, Grant, Availability {}
