package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.port.WorkerOrders.Acknowledgement;
import io.cardamomshelf.node.port.WorkerOrders.Connection;
import java.util.Optional;

/**
 * The ends of runs of a worker's current incarnation that are stored, and those that are
 * acknowledged to the worker.
 *
 * <p>A worker forgets an end once it is acknowledged, and each incarnation numbers its ends from 1.
 * So numbers of one incarnation must not reach another one, which may have ends that it hasn't
 * listed yet. An acknowledgement is only sent on the connection on which the last call returned the
 * worker's lists, as a connection doesn't outlive the incarnation.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class EndAcknowledgements {

    private long bornMillis;
    private long storedNumber;
    private long acknowledgedNumber;
    private Optional<Connection> listedOn = Optional.empty();

    EndAcknowledgements(long bornMillis) {
        this.bornMillis = bornMillis;
    }

    /** Begins a new incarnation, none of whose ends is known. */
    void beginIncarnation(long newBornMillis) {
        bornMillis = newBornMillis;
        storedNumber = 0;
        acknowledgedNumber = 0;
        listedOn = Optional.empty();
    }

    /** Records that the incarnation has just returned its lists on a connection. */
    void confirmListed(Connection connection) {
        listedOn = Optional.of(connection);
    }

    /** Sends no acknowledgement before the next lists, as the worker may have restarted. */
    void awaitLists() {
        listedOn = Optional.empty();
    }

    /** Records that all ends of an incarnation up to this number are stored. */
    void confirmStored(long storedBornMillis, long number) {
        if (storedBornMillis == bornMillis) {
            storedNumber = Math.max(storedNumber, number);
        }
    }

    /** Records that an incarnation has answered a call with this acknowledgement. */
    void confirmAcknowledged(long answeredBornMillis, long number) {
        if (answeredBornMillis == bornMillis) {
            acknowledgedNumber = Math.max(acknowledgedNumber, number);
        }
    }

    /** Returns whether stored ends aren't acknowledged yet. */
    boolean isDue() {
        return acknowledgedNumber < storedNumber;
    }

    /** Returns whether ends up to this number aren't all stored yet. */
    boolean hasUnstored(long lastEndNumber) {
        return storedNumber < lastEndNumber;
    }

    /** Returns what to acknowledge with the next call. */
    Optional<Acknowledgement> next() {
        return listedOn.filter(connection -> isDue())
                .map(connection -> new Acknowledgement(storedNumber, connection));
    }
}
