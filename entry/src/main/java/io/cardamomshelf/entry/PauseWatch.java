package io.cardamomshelf.entry;

/**
 * Notices when this process was paused, for what was last heard before a pause says nothing about
 * the others since.
 *
 * <p>Use: {@code tick()} many times a second; whoever concludes from silence counts the silence
 * from {@code awakeSinceMillis()} at the earliest.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class PauseWatch {

    /** How far apart two looks at the clock are at least when the process was paused between. */
    static final long PAUSE_MILLIS = 1_000;

    private long lastMillis = Clock.millis();
    private long awakeSinceMillis = lastMillis;

    void tick() {
        long now = Clock.millis();
        if (now - lastMillis > PAUSE_MILLIS) {
            awakeSinceMillis = now;
        }
        lastMillis = now;
    }

    /** Returns when the process started or last woke, in monotonic milliseconds. */
    long awakeSinceMillis() {
        // The first code to run after a pause may well be the caller, ahead of any timer.
        tick();
        return awakeSinceMillis;
    }
}
