package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that wait for a place at an upstream, taken by turns of their organisations.
 *
 * <p>Use: {@code queue.offer(organisation, weight, request, left)} when every place is taken; false
 * says that the request could not be served in time and is refused at once. Then {@code
 * queue.take(request -> tryToStart(request), now)} whenever a place may have come free.
 *
 * <p>Turns are start-time fair queueing: an organisation of weight 2 gets two turns for one of
 * weight 1, and one that comes late neither saves up turns nor owes any.
 *
 * <p>Limits: keeps no bound on its length; the grant's limit of requests in flight does.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 *
 * @param <T> the request
 */
public final class FairQueue<T> {

    private static final double SMOOTHING = 0.1;

    private static final class Line<T> {
        private final Deque<T> requests = new ArrayDeque<>();
        private double turn;
        private int weight = 1;
    }

    private final Map<OrganisationId, Line<T>> lines = new HashMap<>();
    private double turn;
    private double intervalMillis;
    private long lastTakenMillis;

    /** Creates an empty queue. */
    public FairQueue() {}

    /**
     * Adds a request, unless by the pace of late it can't be served in time.
     *
     * @param organisation whose request it is, not null
     * @param weight the organisation's weight, above 0
     * @param request the request, not null
     * @param leftMillis how long it may wait, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return false if it is refused
     */
    public boolean offer(
            OrganisationId organisation, int weight, T request, long leftMillis, long nowMillis) {
        Checks.range("weight", weight, 1, Integer.MAX_VALUE);
        if (expectedMillis(organisation, weight) > leftMillis) {
            return false;
        }
        if (lines.isEmpty()) {
            lastTakenMillis = nowMillis;
        }
        Line<T> line = lines.computeIfAbsent(organisation, any -> newLine());
        line.weight = weight;
        line.requests.addLast(request);
        return true;
    }

    /**
     * Takes the first request that can start, asking the organisations by their turns for their
     * oldest.
     *
     * @param start tries to start a request and tells whether it did, not null
     * @param nowMillis the time, in milliseconds
     * @return true if one started
     */
    public boolean startNext(Predicate<T> start, long nowMillis) {
        List<Map.Entry<OrganisationId, Line<T>>> byTurn = new ArrayList<>(lines.entrySet());
        byTurn.sort(
                Comparator.<Map.Entry<OrganisationId, Line<T>>>comparingDouble(
                                entry -> entry.getValue().turn)
                        .thenComparing(Map.Entry::getKey));
        for (Map.Entry<OrganisationId, Line<T>> entry : byTurn) {
            Line<T> line = entry.getValue();
            T oldest = line.requests.pollFirst();
            // Taken out first, for a start that fails at once may call this method again.
            if (oldest != null && start.test(oldest)) {
                turn = line.turn;
                line.turn += 1.0 / line.weight;
                dropIfEmpty(entry.getKey());
                measure(nowMillis);
                return true;
            }
            if (oldest != null) {
                line.requests.addFirst(oldest);
            }
        }
        return false;
    }

    /**
     * Removes a request that waits no longer.
     *
     * @param organisation whose request it is, not null
     * @param request the request, not null
     * @return true if it was waiting
     */
    public boolean remove(OrganisationId organisation, T request) {
        Line<T> line = lines.get(organisation);
        boolean removed = line != null && line.requests.remove(request);
        if (removed) {
            dropIfEmpty(organisation);
        }
        return removed;
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number, from 0
     */
    public int size() {
        return lines.values().stream().mapToInt(line -> line.requests.size()).sum();
    }

    private Line<T> newLine() {
        Line<T> line = new Line<>();
        line.turn = turn;
        return line;
    }

    private void dropIfEmpty(OrganisationId organisation) {
        Line<T> line = lines.get(organisation);
        if (line != null && line.requests.isEmpty()) {
            lines.remove(organisation);
        }
    }

    /** Until a request has been taken, the wait is taken to be none. */
    private double expectedMillis(OrganisationId organisation, int weight) {
        Line<T> line = lines.get(organisation);
        int ahead = line == null ? 0 : line.requests.size();
        double others =
                lines.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(organisation))
                        .mapToDouble(entry -> turnsAhead(entry.getValue(), ahead + 1, weight))
                        .sum();
        return (ahead + 1 + others) * intervalMillis;
    }

    private static double turnsAhead(Line<?> other, int ownTurns, int ownWeight) {
        double turns = ownTurns * other.weight / (double) ownWeight;
        return Math.min(other.requests.size(), turns);
    }

    private void measure(long nowMillis) {
        double interval = Math.max(0, nowMillis - lastTakenMillis);
        intervalMillis += SMOOTHING * (interval - intervalMillis);
        lastTakenMillis = nowMillis;
    }
}
