package io.cardamomshelf.node.port;

/** Thrown if the store gave no usable answer to a read. */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the cause, not null
     */
    public StoreException(String message) {
        super(message);
    }
}
