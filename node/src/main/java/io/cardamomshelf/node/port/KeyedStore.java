package io.cardamomshelf.node.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * The platform's store: streams of records, each with a key.
 *
 * <p>Use: read the newest record of each key, then the tail from the position returned with them.
 *
 * <p>Calls don't block; their results arrive on the caller's event loop.
 */
public interface KeyedStore {

    /** The streams of records. */
    enum Stream {
        /** The operators' records; read only. */
        OPERATORS,
        /** The workers' entries in the registry; read only. */
        WORKERS,
        /** This service's own records: jobs, their progress, and leadership. */
        JOBS
    }

    /**
     * Identifies an append of a scheduler, so that late appends of a deposed one are refused.
     *
     * @param epoch the scheduler's epoch, which increases with each election
     * @param sequence the number of the append in its epoch, which increases by one each time
     */
    record Writer(long epoch, long sequence) {}

    /**
     * The most that the store takes; longer records or appends are refused each time.
     *
     * @param recordBytes the maximum size of a record, in bytes
     * @param appendBytes the maximum size of the records of one append, in bytes
     */
    record Limits(int recordBytes, int appendBytes) {}

    /**
     * The result of a read: records in the order of their positions.
     *
     * @param records the records, not null
     * @param end the position after the stream's last record
     */
    record Tail(List<StoredRecord> records, long end) {}

    /**
     * A page of the newest records of the keys.
     *
     * @param records the records, one for each key, not null
     * @param isLast whether no further page follows
     * @param end the position after the stream's last record
     */
    record NewestPage(List<StoredRecord> records, boolean isLast, long end) {}

    /**
     * Returns the limits of appends.
     *
     * @return the limits, never null
     */
    Limits limits();

    /**
     * Appends all or none of some records to the stream of jobs.
     *
     * @param records the records, not empty
     * @param writer identifies a scheduler's append, empty for appends of others
     * @param timeoutMillis the maximum time to wait for the answer, in milliseconds
     * @return the outcome; never fails
     */
    Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis);

    /**
     * Reads the records from a position on, and waits if there are none yet.
     *
     * @param stream the stream, not null
     * @param from the position of the first record to read
     * @param waitMillis the maximum time to wait for a record, in milliseconds
     * @return the records; fails with {@link ExpiredException} if the position has expired, or with
     *     {@link StoreException}
     */
    Uni<Tail> read(Stream stream, long from, long waitMillis);

    /**
     * Reads the newest record of each key.
     *
     * @param stream the stream, not null
     * @param after the last key of the previous page, empty for the first page
     * @return a page; fails with {@link StoreException}
     */
    Uni<NewestPage> newest(Stream stream, String after);
}
