package io.cardamomshelf.client;

import io.cardamomshelf.core.request.Verdict;

/** Says that a call of the platform or a worker failed, and whether it may have taken effect. */
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
     * Returns the verdict of any failure; what isn't known to be harmless may have run.
     *
     * @param failure the failure, not null
     * @return the verdict, never null
     */
    public static Verdict verdictOf(Throwable failure) {
        return failure instanceof PlatformException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
    }
}
