package io.cardamomshelf.client;

import java.util.List;

/**
 * A page of records read from a stream of the log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param first the oldest offset that the stream still holds
 * @param next the offset that the next append will get
 * @param records the records, in offset order, not null, may be empty
 */
public record LogPage(long first, long next, List<LogRecord> records) {

    /**
     * A record of the stream.
     *
     * @param offset its offset
     * @param body its text, not null
     */
    public record LogRecord(long offset, String body) {}

    /**
     * Creates a page.
     *
     * @throws NullPointerException if the list is null
     */
    public LogPage {
        records = List.copyOf(records);
    }
}
