package io.cardamomshelf.node.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * The platform's store, as streams of records under keys.
 *
 * <p>Use: read the newest record of each key, then the tail from the position that came with them.
 *
 * <p>Calls don't block; their results arrive on the caller's event loop.
 */
public interface KeyedStore {

    /** A stream of records. */
    enum Stream {
        /** What operators wrote; read only. */
        OPERATORS,
        /** What workers say of themselves; read only. */
        WORKERS,
        /** This service's jobs, progress and leadership. */
        JOBS
    }

    /**
     * Who appends, so that a deposed scheduler's late appends are refused.
     *
     * @param epoch rises with each scheduler
     * @param sequence rises by one with each append of an epoch
     */
    record Writer(long epoch, long sequence) {}

    /**
     * Records in the order of their positions.
     *
     * @param records the records, not null
     * @param end the position after the stream's last record
     */
    record Tail(List<StoredRecord> records, long end) {}

    /**
     * Some of the newest records of each key.
     *
     * @param records the records by key, not null
     * @param isLast whether no further page follows
     * @param end the position after the stream's last record
     */
    record NewestPage(List<StoredRecord> records, boolean isLast, long end) {}

    /**
     * Appends to the stream of jobs, all or nothing.
     *
     * @param records the records, not empty
     * @param writer the scheduler's mark, empty for appends that aren't its own
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the outcome; never fails
     */
    Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis);

    /**
     * Reads from a position on, and waits if there is nothing yet.
     *
     * @param stream the stream, not null
     * @param from the position
     * @param waitMillis how long to wait for a record, in milliseconds
     * @return the records; fails with {@link ExpiredException} if the position has expired, or with
     *     {@link StoreException}
     */
    Uni<Tail> read(Stream stream, long from, long waitMillis);

    /**
     * Reads the newest record of each key.
     *
     * @param stream the stream, not null
     * @param after the last key of the page before, empty for the first
     * @return a page; fails with {@link StoreException}
     */
    Uni<NewestPage> newest(Stream stream, String after);
}
