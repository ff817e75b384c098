package io.cardamomshelf.standin.platform;

import java.util.HashMap;
import java.util.Map;

/** Counts the starts of each task over all workers, and those beside another run of it. */
final class Overlaps {

    private final Map<String, Integer> running = new HashMap<>();
    private int starts;
    private int overlaps;

    void begin(String task) {
        starts++;
        if (running.merge(task, 1, Integer::sum) > 1) {
            overlaps++;
        }
    }

    void end(String task) {
        running.merge(task, -1, Integer::sum);
    }

    int starts() {
        return starts;
    }

    int overlaps() {
        return overlaps;
    }
}
