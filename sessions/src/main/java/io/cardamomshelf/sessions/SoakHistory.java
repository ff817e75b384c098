package io.cardamomshelf.sessions;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a soak has seen so far: its jobs and its events.
 *
 * <p>Thread-safe.
 */
final class SoakHistory {

    private final Map<String, SoakJob> jobs = new LinkedHashMap<>();
    private final List<SoakEvent> events = new ArrayList<>();
    private final Map<Object, SoakEvent.Disruption> open = new LinkedHashMap<>();

    synchronized void add(SoakJob job) {
        jobs.put(job.id(), job);
    }

    synchronized void add(SoakEvent event) {
        events.add(event);
    }

    /** Notes that a disruption begins; the returned handle ends it, once. */
    synchronized Runnable disrupt(String target) {
        Object key = new Object();
        open.put(key, new SoakEvent.Disruption(System.currentTimeMillis(), Long.MAX_VALUE, target));
        return () -> end(key);
    }

    private synchronized void end(Object key) {
        SoakEvent.Disruption begun = open.remove(key);
        if (begun != null) {
            events.add(
                    new SoakEvent.Disruption(
                            begun.at(), System.currentTimeMillis(), begun.target()));
        }
    }

    /** Returns a job by its identifier, null if there is none. */
    synchronized SoakJob job(String id) {
        return jobs.get(id);
    }

    synchronized Map<String, SoakJob> jobs() {
        return Map.copyOf(jobs);
    }

    /** Returns the events so far, those of disruptions that go on included. */
    synchronized List<SoakEvent> events() {
        List<SoakEvent> all = new ArrayList<>(events);
        all.addAll(open.values());
        return all;
    }

    /** Writes all events to a file, one a line, in the order of their times. */
    void writeTo(Path file) throws SessionException {
        try {
            Files.write(
                    file,
                    events().stream().sorted(SoakJudge.ORDER).map(SoakEvent::toString).toList());
        } catch (IOException e) {
            throw new SessionException("can't write " + file + ": " + e);
        }
    }
}
