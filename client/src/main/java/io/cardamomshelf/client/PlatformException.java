package io.cardamomshelf.client;

import io.cardamomshelf.core.request.Verdict;

/**
 * Thrown when a call to the platform, a worker, an upstream or an entry instance fails. The verdict
 * states whether the call may have taken effect.
 */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Verdict verdict;

    /**
     * Creates an exception.
     *
     * @param verdict whether the call may have taken effect, not null
     * @param message what failed, not null
     */
    public PlatformException(Verdict verdict, String message) {
        super(message);
        this.verdict = verdict;
    }

    /**
     * Returns whether the call may have taken effect.
     *
     * @return the verdict, never null and never {@code RAN}
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the verdict of a failure, {@code MAY_HAVE_RUN} if it isn't a {@code
     * PlatformException}.
     *
     * @param failure the failure, not null
     * @return the verdict, never null
     */
    public static Verdict verdictOf(Throwable failure) {
        return failure instanceof PlatformException exception
                ? exception.verdict()
                : Verdict.MAY_HAVE_RUN;
    }
}
