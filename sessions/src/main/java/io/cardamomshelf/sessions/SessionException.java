package io.cardamomshelf.sessions;

/** Thrown when a step of a session fails or has an unexpected result. */
public final class SessionException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed, or the expected and the actual result, not null
     */
    public SessionException(String message) {
        super(message);
    }
}
