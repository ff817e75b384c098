package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.DataCentreId;

/**
 * The decoded content of an operators' record.
 *
 * <p>Use: returned by {@link RecordDecoder#operatorFact}.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface OperatorFact {

    /**
     * A new configuration is in force.
     *
     * @param configuration the complete configuration, not null
     */
    record Configured(Configuration configuration) implements OperatorFact {}

    /**
     * A data centre is withdrawn or restored.
     *
     * @param dataCentre the data centre, not null
     * @param isOut true if it is withdrawn, so that no run may start there
     */
    record EvacuationChanged(DataCentreId dataCentre, boolean isWithdrawn) implements OperatorFact {}

    /**
     * A record that this service doesn't use or can't decode.
     *
     * @param reason the reason, not null
     */
    record Ignored(String reason) implements OperatorFact {}
}
