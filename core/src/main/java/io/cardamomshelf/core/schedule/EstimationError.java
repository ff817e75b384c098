package io.cardamomshelf.core.schedule;

/**
 * The error of a caller's estimate of a run time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param queue the name of the job's queue, not null
 * @param percent the difference between estimate and run time, in percent of the run time
 */
public record EstimationError(String queue, long percent) {}
