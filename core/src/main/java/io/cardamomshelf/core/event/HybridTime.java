package io.cardamomshelf.core.event;

/**
 * A reading of a hybrid logical clock: wall time, and a counter that orders events which the wall
 * clock can't order.
 *
 * <p>Use: {@code now = last.nextLocal(wallMillis)} before each event of this process, and {@code
 * now = last.nextAfter(received, wallMillis)} for each message received. An effect then never sorts
 * before its cause, even if the wall clocks of two instances differ by seconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param millis the highest wall time so far of this and the peers' clocks, in milliseconds since
 *     1970
 * @param counter orders readings with the same {@code millis}, from 0
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {

    /** The reading before the first event. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Returns the reading for the next event of this process.
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
     * Returns the reading after a message has been received.
     *
     * @param received the sender's reading in the message, not null
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
