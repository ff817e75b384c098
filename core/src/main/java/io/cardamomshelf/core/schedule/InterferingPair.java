package io.cardamomshelf.core.schedule;

/**
 * Two kinds of tasks of which one slows down the other where they share a worker, with the figures
 * that show it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slowed the kind whose tasks take longer, not null
 * @param slowing the kind whose tasks cause it, not null
 * @param slowdownPercent how much longer the slowed tasks take, in percent of their run time alone
 * @param samples the number of comparisons that show it
 * @param workers the number of workers on which they were made
 * @param ageMillis the age of the oldest comparison, in milliseconds
 */
public record InterferingPair(
        String slowed,
        String slowing,
        int slowdownPercent,
        int samples,
        int workers,
        long ageMillis) {}
