package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The open connections of one server, limited in total and per peer address.
 *
 * <p>A new connection over a limit replaces the one that has taken longest to send a request, or
 * else the one that has been idle longest. If there is none of them the new one is closed.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ConnectionRegistry {

    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final int limit;
    private final int limitPerAddress;
    private final LimitReporter reporter;
    private final Clock clock;
    private final Set<ConnectionGuard> open = new HashSet<>();
    private final Map<String, Integer> countByAddress = new HashMap<>();

    /** Connections that are sending a request or haven't sent one yet, the oldest first. */
    private final Set<ConnectionGuard> sending = new LinkedHashSet<>();

    /** Connections between two requests, the one that was idle longest first. */
    private final Set<ConnectionGuard> idle = new LinkedHashSet<>();

    private boolean checking;

    ConnectionRegistry(int limit, int limitPerAddress, LimitReporter reporter, Clock clock) {
        this.limit = limit;
        this.limitPerAddress = limitPerAddress;
        this.reporter = reporter;
        this.clock = clock;
    }

    int limit() {
        return limit;
    }

    long count() {
        return open.size();
    }

    /** Adds a connection; the result is false if there is no room for it. */
    boolean add(ConnectionGuard connection, EventLoop eventLoop) {
        String address = connection.address();
        if (countByAddress.getOrDefault(address, 0) >= limitPerAddress
                && !replace(CallerLimit.ADDRESS, other -> other.address().equals(address))) {
            return false;
        }
        if (open.size() >= limit && !replace(CallerLimit.CONNECTIONS, other -> true)) {
            return false;
        }
        open.add(connection);
        countByAddress.merge(address, 1, Integer::sum);
        sending.add(connection);
        startChecking(eventLoop);
        return true;
    }

    void remove(ConnectionGuard connection) {
        if (open.remove(connection)) {
            countByAddress.computeIfPresent(
                    connection.address(), (address, count) -> count == 1 ? null : count - 1);
        }
        sending.remove(connection);
        idle.remove(connection);
    }

    /** Notes that the first bytes of a request have arrived. */
    void requestBegan(ConnectionGuard connection) {
        idle.remove(connection);
        sending.add(connection);
    }

    /** Notes that a request has been received and is being answered. */
    void requestReceived(ConnectionGuard connection) {
        idle.remove(connection);
        sending.remove(connection);
    }

    /** Notes that all received requests are answered. */
    void becameIdle(ConnectionGuard connection) {
        sending.remove(connection);
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    private boolean replace(CallerLimit exceeded, Predicate<ConnectionGuard> eligible) {
        long nowMillis = clock.monotonicMillis();
        Optional<ConnectionGuard> slowest =
                sending.stream()
                        .filter(eligible)
                        .findFirst()
                        .filter(connection -> connection.isReplaceable(nowMillis))
                        .or(() -> idle.stream().filter(eligible).findFirst());
        if (slowest.isEmpty()) {
            reporter.exceeded(exceeded);
            return false;
        }
        slowest.get().close(exceeded);
        return true;
    }

    private void startChecking(EventLoop eventLoop) {
        if (!checking) {
            checking = true;
            eventLoop.schedule(
                    () -> checkAll(eventLoop), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkAll(EventLoop eventLoop) {
        checking = false;
        long nowMillis = clock.monotonicMillis();
        List.copyOf(open).forEach(connection -> connection.check(nowMillis));
        if (!open.isEmpty()) {
            startChecking(eventLoop);
        }
    }
}
