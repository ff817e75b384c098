package io.cardamomshelf.wire;

/** Says that the bytes of a peer are no frame; the connection can't be used any more. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
