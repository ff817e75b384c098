package io.cardamomshelf.sessions;

/**
 * Polls conditions until they hold. The timeout of a minute is so long that only a fault reaches
 * it.
 *
 * <p>Stateless and thread-safe.
 */
public final class Wait {

    private static final long TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** A condition whose check may fail. */
    public interface Condition {

        /**
         * Checks the condition.
         *
         * @return true if it holds
         * @throws SessionException if it can't be checked; counts as false
         */
        boolean holds() throws SessionException;
    }

    private Wait() {}

    /**
     * Waits until a condition holds.
     *
     * @param description the awaited condition, for the error message, not null
     * @param condition the condition, not null
     * @throws SessionException if it doesn't hold within a minute
     */
    public static void until(String description, Condition condition) throws SessionException {
        long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (!isHolding(condition)) {
            if (System.nanoTime() > deadline) {
                throw new SessionException(
                        "timed out after " + TIMEOUT_MILLIS + " ms, waiting for: " + description);
            }
            pause();
        }
    }

    private static boolean isHolding(Condition condition) {
        try {
            return condition.holds();
        } catch (SessionException e) {
            return false;
        }
    }

    private static void pause() throws SessionException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted while waiting");
        }
    }
}
