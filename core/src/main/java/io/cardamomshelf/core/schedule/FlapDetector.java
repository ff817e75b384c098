package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects workers that go down and come back again and again.
 *
 * <p>Such a worker accepts starts while it is up, and loses the runs with the next outage; a gang
 * loses all its members with it. After an outage a worker gets no gangs for a short time; after
 * several it is avoided by all work, as after failures.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
final class FlapDetector {

    /**
     * How long a worker gets no gangs after it answers again, in milliseconds. Gangs don't wait
     * beside free capacity for 3 s, so it has to be shorter.
     */
    private static final long RECOVERY_MILLIS = 2_000;

    /** How long after an outage another one counts as flapping, in milliseconds. */
    private static final long WINDOW_MILLIS = 8_000;

    private static final class Outage {
        private boolean isOngoing;
        private long lastSeenMillis;
    }

    private final Map<WorkerId, Outage> outages = new HashMap<>();

    /** Records which workers are unresponsive now, and avoids those that are so again. */
    void update(Collection<WorkerState> workers, long nowMillis) {
        for (WorkerState worker : workers) {
            Outage outage = outages.get(worker.id());
            if (worker.unresponsive) {
                recordOutage(worker, outage, nowMillis);
            } else if (outage != null) {
                outage.isOngoing = false;
            }
        }
        outages.values().removeIf(outage -> nowMillis - outage.lastSeenMillis >= WINDOW_MILLIS);
    }

    /** Whether a worker has answered again only for a short time. */
    boolean isRecovering(WorkerId worker, long nowMillis) {
        Outage outage = outages.get(worker);
        return outage != null && nowMillis - outage.lastSeenMillis < RECOVERY_MILLIS;
    }

    private void recordOutage(WorkerState worker, Outage known, long nowMillis) {
        Outage outage = known;
        if (outage == null) {
            outage = new Outage();
            outages.put(worker.id(), outage);
        } else if (!outage.isOngoing) {
            worker.avoidance().begin(nowMillis);
        }
        outage.isOngoing = true;
        outage.lastSeenMillis = nowMillis;
    }
}
