package io.cardamomshelf.sessions;

/** Says that a session did not go as it must. */
public final class SessionException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was expected and what was seen, not null
     */
    public SessionException(String message) {
        super(message);
    }
}
