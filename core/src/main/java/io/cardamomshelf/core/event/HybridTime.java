package io.cardamomshelf.core.event;

/**
 * A reading of a hybrid logical clock: wall time with a counter for what the wall clock can't
 * order.
 *
 * <p>Use: {@code now = last.plusLocal(wallMillis)} before an event of this process, and {@code now
 * = last.plusRemote(received, wallMillis)} at each message, so that an effect never sorts before
 * its cause though clocks differ by seconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param millis wall time in milliseconds since 1970, the highest seen so far
 * @param counter orders readings of the same millisecond, from 0
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {

    /** The reading before any event. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Returns the reading for a next event of this process.
     *
     * @param wallMillis the wall clock, in milliseconds since 1970
     * @return a later reading, never null
     */
    public HybridTime nextLocal(long wallMillis) {
        return wallMillis > millis
                ? new HybridTime(wallMillis, 0)
                : new HybridTime(millis, counter + 1);
    }

    /**
     * Returns the reading for the receipt of a message.
     *
     * @param received the sender's reading, not null
     * @param wallMillis the wall clock, in milliseconds since 1970
     * @return a reading later than this one and the sender's, never null
     */
    public HybridTime nextAfter(HybridTime received, long wallMillis) {
        HybridTime later = compareTo(received) >= 0 ? this : received;
        return later.nextLocal(wallMillis);
    }

    @Override
    public int compareTo(HybridTime other) {
        int byMillis = Long.compare(millis, other.millis);
        return byMillis != 0 ? byMillis : Integer.compare(counter, other.counter);
    }

    @Override
    public String toString() {
        return millis + "." + counter;
    }
}
