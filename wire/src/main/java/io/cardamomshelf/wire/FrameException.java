package io.cardamomshelf.wire;

/**
 * Thrown when a frame can't be encoded or decoded. After a failed decoding the connection must be
 * closed.
 */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
