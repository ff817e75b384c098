package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.OrganisationLimits;
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
 * The operators' settings: the configuration in force and the withdrawn data centres.
 *
 * <p>Use: a {@link StreamFollower} applies the records of the operators' stream to it. A
 * configuration whose version isn't higher than the one in force is ignored.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class OperatorsView implements StreamFollower.Fold {

    private final RecordDecoder decoder;
    private final Runnable onChange;
    private Configuration configuration;
    private Set<DataCentreId> withdrawnDataCentres = new HashSet<>();

    /**
     * Creates an empty view.
     *
     * @param decoder decodes the records, not null
     * @param onChange called after each change, not null
     */
    public OperatorsView(RecordDecoder decoder, Runnable onChange) {
        this.decoder = decoder;
        this.onChange = onChange;
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
     * Returns the limits of an organisation in the configuration in force.
     *
     * @param id the organisation, not null
     * @return its limits, never null
     */
    public OrganisationLimits limits(OrganisationId id) {
        return configuration().stream()
                .flatMap(current -> current.organisations().stream())
                .filter(organisation -> organisation.id().equals(id))
                .map(Configuration.Organisation::limits)
                .findFirst()
                .orElse(OrganisationLimits.NONE);
    }

    /**
     * Returns the data centres in which nothing may start.
     *
     * @return the data centres, never null
     */
    public Set<DataCentreId> withdrawnDataCentres() {
        return Set.copyOf(withdrawnDataCentres);
    }

    @Override
    public void replace(List<StoredRecord> records) {
        withdrawnDataCentres = new HashSet<>();
        records.forEach(this::applyRecord);
        onChange.run();
    }

    @Override
    public void apply(StoredRecord record) {
        applyRecord(record);
        onChange.run();
    }

    private void applyRecord(StoredRecord record) {
        OperatorFact fact = decoder.operatorFact(record);
        if (fact instanceof OperatorFact.Configured configured) {
            applyConfiguration(configured.configuration());
        } else if (fact instanceof OperatorFact.EvacuationChanged evacuation) {
            applyEvacuation(evacuation);
        } else if (fact instanceof OperatorFact.Ignored ignored) {
            EventLog.of(NodeEvent.RECORD_IGNORED)
                    .with("key", record.key())
                    .with("offset", record.offset())
                    .with("reason", ignored.reason())
                    .write();
        }
    }

    private void applyConfiguration(Configuration next) {
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

    private void applyEvacuation(OperatorFact.EvacuationChanged evacuation) {
        boolean changed =
                evacuation.isWithdrawn()
                        ? withdrawnDataCentres.add(evacuation.dataCentre())
                        : withdrawnDataCentres.remove(evacuation.dataCentre());
        if (changed) {
            EventLog.of(NodeEvent.EVACUATION_CHANGED)
                    .with("dataCentre", evacuation.dataCentre())
                    .with("out", evacuation.isWithdrawn())
                    .write();
        }
    }
}
