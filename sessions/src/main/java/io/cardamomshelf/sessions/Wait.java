package io.cardamomshelf.sessions;

/**
 * Waits for conditions, with a bound so wide that only a real fault meets it.
 *
 * <p>Stateless and thread-safe.
 */
public final class Wait {

    private static final long BOUND_MILLIS = 60_000;
    private static final long PAUSE_MILLIS = 50;

    /** A condition that may fail to be asked. */
    public interface Condition {

        /**
         * Asks the condition.
         *
         * @return true if it holds
         * @throws SessionException if it can't be asked; it counts as false
         */
        boolean holds() throws SessionException;
    }

    private Wait() {}

    /**
     * Waits until a condition holds.
     *
     * @param what what is waited for, for the error, not null
     * @param condition the condition, not null
     * @throws SessionException if it doesn't hold within a minute
     */
    public static void until(String what, Condition condition) throws SessionException {
        long deadline = System.nanoTime() + BOUND_MILLIS * 1_000_000;
        while (!isHolding(condition)) {
            if (System.nanoTime() > deadline) {
                throw new SessionException("not seen within a minute: " + what);
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
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }
}
