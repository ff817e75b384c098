package io.cardamomshelf.core.schedule;

/**
 * The time of a decision on both clocks.
 *
 * <p>Use: durations are taken on the steady clock, due times on the wall clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param monotonicMillis the process's steady clock, in milliseconds
 * @param wallMillis milliseconds since 1970
 */
public record ClockReading(long monotonicMillis, long wallMillis) {}
