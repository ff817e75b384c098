package io.cardamomshelf.node.port;

import io.cardamomshelf.core.schedule.WorkerInfo;
import java.util.Optional;

/**
 * Decodes the records that operators and workers write to the store, in the platform's formats.
 *
 * <p>Use: called by the views of the operators' and the workers' streams; implemented by the
 * platform's adapter.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface RecordDecoder {

    /**
     * Decodes an operators' record.
     *
     * @param record the record, not null
     * @return its content, never null
     */
    OperatorFact operatorFact(StoredRecord record);

    /**
     * Decodes a worker's entry.
     *
     * @param record the record, not null, with a value
     * @return the worker, empty if the entry describes no usable worker
     */
    Optional<WorkerInfo> worker(StoredRecord record);
}
