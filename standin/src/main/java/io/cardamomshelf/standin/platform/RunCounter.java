package io.cardamomshelf.standin.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the starts of runs on all workers, and those while another run of the same task was going
 * on.
 */
final class RunCounter implements WorkerListener {

    private final Map<String, Integer> runningByTask = new HashMap<>();
    private int starts;
    private int overlaps;

    @Override
    public void began(String worker, Start start) {
        starts++;
        if (runningByTask.merge(start.task(), 1, Integer::sum) > 1) {
            overlaps++;
        }
    }

    @Override
    public void ended(String worker, String task, long run, String outcome, long number) {
        runningByTask.merge(task, -1, Integer::sum);
    }

    int running() {
        return runningByTask.values().stream().mapToInt(Integer::intValue).sum();
    }

    int starts() {
        return starts;
    }

    int overlaps() {
        return overlaps;
    }
}
