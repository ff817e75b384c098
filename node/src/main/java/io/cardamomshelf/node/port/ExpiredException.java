package io.cardamomshelf.node.port;

/**
 * Thrown if the store has discarded the records at the position of a read. The reader must load the
 * newest record of each key instead.
 */
public final class ExpiredException extends StoreException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param position the position of the read
     */
    public ExpiredException(long position) {
        super("records from position " + position + " on have expired in the store");
    }
}
