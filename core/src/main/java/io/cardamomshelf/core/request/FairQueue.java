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
 * A queue of requests that wait for a slot at an upstream, shared fairly among organisations.
 *
 * <p>Use: the entry instance's attempt loop calls {@code queue.offer(organisation, weight, request,
 * maxWait, now)} when all slots are in use. If it returns false, the request can't be expected to
 * start in time and should be refused. The loop calls {@code queue.startNext(request ->
 * tryToStart(request), now)} whenever a slot may have become free.
 *
 * <p>Requests are ordered by start-time fair queueing: an organisation with weight 2 gets two turns
 * for one turn of an organisation with weight 1. An organisation accumulates neither turns nor debt
 * while it has no requests waiting.
 *
 * <p>Limits: the queue doesn't bound its length; the limit on requests in flight in each grant
 * does.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 *
 * @param <T> the request
 */
public final class FairQueue<T> {

    private static final double SMOOTHING_FACTOR = 0.1;

    private static final class OrganisationQueue<T> {
        private final Deque<T> requests = new ArrayDeque<>();
        private double startTag;
        private int weight = 1;
    }

    private final Map<OrganisationId, OrganisationQueue<T>> queues = new HashMap<>();
    private double virtualTime;

    /** The smoothed interval between two starts while requests are waiting. */
    private double meanIntervalMillis;

    private long lastStartMillis;

    /** Creates an empty queue. */
    public FairQueue() {}

    /**
     * Adds a request, unless at the recent rate of starts it would wait too long.
     *
     * @param organisation the organisation that sent the request, not null
     * @param weight the organisation's weight, above 0
     * @param request the request, not null
     * @param maxWaitMillis the longest time it may wait, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return true if it was added, false if it would wait too long
     */
    public boolean offer(
            OrganisationId organisation,
            int weight,
            T request,
            long maxWaitMillis,
            long nowMillis) {
        Checks.range("weight", weight, 1, Integer.MAX_VALUE);
        if (expectedWaitMillis(organisation, weight) > maxWaitMillis) {
            return false;
        }
        if (queues.isEmpty()) {
            // An idle time does not count as an interval between starts.
            lastStartMillis = nowMillis;
        }
        OrganisationQueue<T> queue = queues.computeIfAbsent(organisation, key -> newQueue());
        queue.weight = weight;
        queue.requests.addLast(request);
        return true;
    }

    /**
     * Starts and removes one request: the oldest of the first organisation, by turn, whose oldest
     * request can start.
     *
     * @param start tries to start a request and returns whether it did, not null
     * @param nowMillis the time, in milliseconds
     * @return true if a request was started
     */
    public boolean startNext(Predicate<T> start, long nowMillis) {
        List<Map.Entry<OrganisationId, OrganisationQueue<T>>> byStartTag =
                new ArrayList<>(queues.entrySet());
        byStartTag.sort(
                Comparator.<Map.Entry<OrganisationId, OrganisationQueue<T>>>comparingDouble(
                                entry -> entry.getValue().startTag)
                        .thenComparing(Map.Entry::getKey));
        for (Map.Entry<OrganisationId, OrganisationQueue<T>> entry : byStartTag) {
            OrganisationQueue<T> queue = entry.getValue();
            T oldest = queue.requests.pollFirst();
            // Removed before the start, because a start that fails at once may call this method
            // again.
            if (oldest != null && start.test(oldest)) {
                virtualTime = queue.startTag;
                queue.startTag += 1.0 / queue.weight;
                removeIfEmpty(entry.getKey());
                updateMeanInterval(nowMillis);
                return true;
            }
            if (oldest != null) {
                queue.requests.addFirst(oldest);
            }
        }
        return false;
    }

    /**
     * Removes a request that is no longer waiting.
     *
     * @param organisation the organisation that sent the request, not null
     * @param request the request, not null
     * @return true if it was in the queue
     */
    public boolean remove(OrganisationId organisation, T request) {
        OrganisationQueue<T> queue = queues.get(organisation);
        boolean removed = queue != null && queue.requests.remove(request);
        if (removed) {
            removeIfEmpty(organisation);
        }
        return removed;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number, at least 0
     */
    public int size() {
        return queues.values().stream().mapToInt(queue -> queue.requests.size()).sum();
    }

    private OrganisationQueue<T> newQueue() {
        OrganisationQueue<T> queue = new OrganisationQueue<>();
        queue.startTag = virtualTime;
        return queue;
    }

    private void removeIfEmpty(OrganisationId organisation) {
        OrganisationQueue<T> queue = queues.get(organisation);
        if (queue != null && queue.requests.isEmpty()) {
            queues.remove(organisation);
        }
    }

    /** Returns the expected wait of a new request; 0 until a request has been started. */
    private double expectedWaitMillis(OrganisationId organisation, int weight) {
        OrganisationQueue<T> queue = queues.get(organisation);
        int ahead = queue == null ? 0 : queue.requests.size();
        double otherTurns =
                queues.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(organisation))
                        .mapToDouble(entry -> turnsAhead(entry.getValue(), ahead + 1, weight))
                        .sum();
        return (ahead + 1 + otherTurns) * meanIntervalMillis;
    }

    private static double turnsAhead(OrganisationQueue<?> other, int ownTurns, int ownWeight) {
        double turns = ownTurns * other.weight / (double) ownWeight;
        return Math.min(other.requests.size(), turns);
    }

    private void updateMeanInterval(long nowMillis) {
        double interval = Math.max(0, nowMillis - lastStartMillis);
        meanIntervalMillis += SMOOTHING_FACTOR * (interval - meanIntervalMillis);
        lastStartMillis = nowMillis;
    }
}
