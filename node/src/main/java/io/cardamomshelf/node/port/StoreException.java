package io.cardamomshelf.node.port;

/** Says that the store gave no usable answer to a read. */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what happened, not null
     */
    public StoreException(String message) {
        super(message);
    }
}
