package io.cardamomshelf.node.port;

import io.cardamomshelf.core.schedule.WorkerInfo;
import java.util.Optional;

/**
 * Reads the platform's own records.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface RecordDecoder {

    /**
     * Reads a record of the operators.
     *
     * @param record the record, not null
     * @return what it says, never null
     */
    OperatorFact operatorFact(StoredRecord record);

    /**
     * Reads a worker's entry.
     *
     * @param record the record, not null and no drop
     * @return the worker, empty if the entry names none that can be used
     */
    Optional<WorkerInfo> worker(StoredRecord record);
}
