package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.Timers;

/**
 * A pause before something is done again. Beginning it anew replaces the one before, which then
 * ends nothing.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Pause {

    private final Timers timers;
    private final Runnable whenOver;
    private boolean active;
    private long begun;

    /** Creates a pause that isn't active; {@code whenOver} is called whenever one has passed. */
    Pause(Timers timers, Runnable whenOver) {
        this.timers = timers;
        this.whenOver = whenOver;
    }

    /** Begins a pause of this length, in milliseconds, instead of the current one. */
    void begin(long millis) {
        active = true;
        long number = ++begun;
        timers.after(
                millis,
                () -> {
                    if (number == begun) {
                        active = false;
                        whenOver.run();
                    }
                });
    }

    /** Ends the current pause early. */
    void end() {
        active = false;
    }

    boolean isActive() {
        return active;
    }
}
