package io.cardamomshelf.node.port;

/** Says that the records at a position are gone, so that the newest of each key must be read. */
public final class ExpiredException extends StoreException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param position the position that was asked for
     */
    public ExpiredException(long position) {
        super("records from " + position + " on have expired");
    }
}
