package io.cardamomshelf.entry;

/**
 * Detects that this process was paused, during which it received no messages from others.
 *
 * <p>Use: {@code tick()} many times a second. Code that measures how long another process has been
 * unresponsive must count from {@code runningSinceMillis()} at the earliest.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class PauseDetector {

    /** The time between two clock readings above which the process is considered paused. */
    static final long PAUSE_MILLIS = 1_000;

    private long lastMillis = Clock.monotonicMillis();
    private long runningSinceMillis = lastMillis;

    void tick() {
        long now = Clock.monotonicMillis();
        if (now - lastMillis > PAUSE_MILLIS) {
            runningSinceMillis = now;
        }
        lastMillis = now;
    }

    /** Returns when the process started or last resumed, in monotonic milliseconds. */
    long runningSinceMillis() {
        // After a pause the caller may run before any timer.
        tick();
        return runningSinceMillis;
    }
}
