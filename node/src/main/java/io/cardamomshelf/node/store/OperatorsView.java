package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.OperatorFact;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What the operators want: the configuration in force and the data centres that are taken out.
 *
 * <p>Use: the fold of the operators' stream. A configuration whose number isn't higher than the one
 * in force changes nothing.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class OperatorsView implements StreamFollower.Fold {

    private final RecordDecoder decoder;
    private final Runnable changed;
    private Configuration configuration;
    private Set<DataCentreId> evacuated = new HashSet<>();

    /**
     * Creates a view of nothing.
     *
     * @param decoder reads the records, not null
     * @param changed called after each change, not null
     */
    public OperatorsView(RecordDecoder decoder, Runnable changed) {
        this.decoder = decoder;
        this.changed = changed;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty before the first was read
     */
    public Optional<Configuration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Returns where nothing may start.
     *
     * @return the data centres, never null
     */
    public Set<DataCentreId> evacuated() {
        return Set.copyOf(evacuated);
    }

    @Override
    public void replace(List<StoredRecord> records) {
        evacuated = new HashSet<>();
        records.forEach(this::take);
        changed.run();
    }

    @Override
    public void apply(StoredRecord record) {
        take(record);
        changed.run();
    }

    private void take(StoredRecord record) {
        OperatorFact fact = decoder.operatorFact(record);
        if (fact instanceof OperatorFact.Configured configured) {
            configure(configured.configuration());
        } else if (fact instanceof OperatorFact.Evacuated evacuation) {
            evacuate(evacuation);
        } else if (fact instanceof OperatorFact.Ignored ignored) {
            EventLog.of(NodeEvent.RECORD_IGNORED)
                    .with("key", record.key())
                    .with("offset", record.offset())
                    .with("reason", ignored.reason())
                    .write();
        }
    }

    private void configure(Configuration next) {
        if (configuration != null && next.version() <= configuration.version()) {
            return;
        }
        configuration = next;
        EventLog.of(NodeEvent.CONFIGURATION_APPLIED)
                .with("version", next.version())
                .with("routes", next.routes().size())
                .with("organisations", next.organisations().size())
                .write();
    }

    private void evacuate(OperatorFact.Evacuated evacuation) {
        boolean change =
                evacuation.isOut()
                        ? evacuated.add(evacuation.dataCentre())
                        : evacuated.remove(evacuation.dataCentre());
        if (change) {
            EventLog.of(NodeEvent.EVACUATION_CHANGED)
                    .with("dataCentre", evacuation.dataCentre())
                    .with("out", evacuation.isOut())
                    .write();
        }
    }
}
