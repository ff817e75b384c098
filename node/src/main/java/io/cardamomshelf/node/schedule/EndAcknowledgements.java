package io.cardamomshelf.node.schedule;

/**
 * The ends of runs of a worker's current incarnation that are stored, and those that are
 * acknowledged to the worker.
 *
 * <p>A worker forgets an end once it is acknowledged, and each incarnation numbers its ends from 1.
 * So numbers of one incarnation must not reach another one, which may have ends that it hasn't
 * listed yet. An acknowledgement is only sent if the last call to the worker returned its lists.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class EndAcknowledgements {

    private long bornMillis;
    private long storedNumber;
    private long acknowledgedNumber;
    private boolean listed;

    EndAcknowledgements(long bornMillis) {
        this.bornMillis = bornMillis;
    }

    /** Begins a new incarnation, none of whose ends is known. */
    void beginIncarnation(long newBornMillis) {
        bornMillis = newBornMillis;
        storedNumber = 0;
        acknowledgedNumber = 0;
        listed = false;
    }

    /** Records that the incarnation has just returned its lists. */
    void confirmListed() {
        listed = true;
    }

    /** Sends no acknowledgement before the next lists, as the worker may have restarted. */
    void awaitLists() {
        listed = false;
    }

    /** Records that all ends of an incarnation up to this number are stored. */
    void confirmStored(long storedBornMillis, long number) {
        if (storedBornMillis == bornMillis) {
            storedNumber = Math.max(storedNumber, number);
        }
    }

    /** Records that an incarnation has answered a call with this acknowledgement. */
    void confirmAcknowledged(long answeredBornMillis, long number) {
        if (answeredBornMillis == bornMillis) {
            acknowledgedNumber = Math.max(acknowledgedNumber, number);
        }
    }

    /** Returns whether stored ends aren't acknowledged yet. */
    boolean isDue() {
        return acknowledgedNumber < storedNumber;
    }

    /** Returns whether ends up to this number aren't all stored yet. */
    boolean hasUnstored(long lastEndNumber) {
        return storedNumber < lastEndNumber;
    }

    /** Returns the number to acknowledge with the next call, 0 for none. */
    long nextNumber() {
        return listed && isDue() ? storedNumber : 0;
    }
}
