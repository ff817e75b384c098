package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.DataCentreId;

/**
 * What a record of the operators says.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface OperatorFact {

    /**
     * The configuration in force.
     *
     * @param configuration the whole of it, not null
     */
    record Configured(Configuration configuration) implements OperatorFact {}

    /**
     * A data centre is taken out, or back.
     *
     * @param dataCentre which, not null
     * @param isOut whether nothing may start there
     */
    record EvacuationChanged(DataCentreId dataCentre, boolean isWithdrawn) implements OperatorFact {}

    /**
     * A record that this service doesn't use, or can't read.
     *
     * @param reason why, not null
     */
    record Ignored(String reason) implements OperatorFact {}
}
