package io.cardamomshelf.core.schedule;

/**
 * A reading of the monotonic clock and the wall clock at the same time.
 *
 * <p>Use: the monotonic clock for durations, the wall clock for due times and for times that other
 * processes recorded.
 *
 * <p>Immutable and thread-safe.
 *
 * @param monotonicMillis the process's monotonic clock, in milliseconds
 * @param wallMillis the wall clock, in milliseconds since 1970
 */
public record ClockReading(long monotonicMillis, long wallMillis) {

    /**
     * Returns the longest time that may have passed since an earlier reading: the larger of the
     * differences of both clocks. The monotonic clock stops while the computer is suspended, and
     * the wall clock may be set back.
     *
     * @param earlier the earlier reading, not null
     * @return milliseconds
     */
    public long maxMillisSince(ClockReading earlier) {
        return Math.max(monotonicMillis - earlier.monotonicMillis, wallMillis - earlier.wallMillis);
    }
}
