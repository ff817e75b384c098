package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The two lists in force at an offset of the log, folded from the edits in offset order.
 *
 * <p>Use: {@code state = state.plus(offset, edit).state()} for each record; every instance that
 * folds the same records has the same state, whatever operators race.
 *
 * <p>Limits: remembers the ids of the last 4,096 accepted edits to recognise a repeated append.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset the offset of the last folded record, 0 before any
 * @param entries the entries in force by key, not null
 * @param editIds the latest accepted edits' ids with their offsets, oldest first, not null
 */
public record ConfigState(long offset, Map<EntryKey, Entry> entries, Map<String, Long> editIds) {

    /** The state before any edit. */
    public static final ConfigState EMPTY = new ConfigState(0, Map.of(), Map.of());

    private static final int REMEMBERED_EDITS = 4_096;

    /**
     * Creates a state.
     *
     * @throws IllegalArgumentException if a value is missing or the offset is negative
     */
    public ConfigState {
        Checks.range("offset", offset, 0, Long.MAX_VALUE);
        entries = Map.copyOf(Checks.notNull("entries", entries));
        editIds =
                Collections.unmodifiableMap(
                        new LinkedHashMap<>(Checks.notNull("editIds", editIds)));
    }

    /**
     * Returns the entry of a key.
     *
     * @param key the key, not null
     * @return the entry, empty if there is none
     */
    public Optional<Entry> entry(EntryKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Returns an organisation's plan.
     *
     * @param organisation the organisation, not null
     * @return the plan, empty if the organisation has none
     */
    public Optional<Plan> plan(OrganisationId organisation) {
        return entry(EntryKey.plan(organisation)).map(entry -> (Plan) entry.value());
    }

    /**
     * Returns an organisation's grant.
     *
     * @param organisation the organisation, not null
     * @return the grant, empty if the organisation has none
     */
    public Optional<Grant> grant(OrganisationId organisation) {
        return entry(EntryKey.grant(organisation)).map(entry -> (Grant) entry.value());
    }

    /**
     * Asks whether new work may start in a data centre.
     *
     * @param dataCentre the data centre, not null
     * @return true unless operators have taken it out
     */
    public boolean isOpen(DataCentreId dataCentre) {
        return entry(EntryKey.dataCentre(dataCentre))
                .map(entry -> ((Availability) entry.value()).in())
                .orElse(true);
    }

    /**
     * Asks whether an organisation's new work may start in a data centre.
     *
     * @param organisation the organisation, not null
     * @param dataCentre the data centre, not null
     * @return true if its grant names the data centre and the data centre is in
     */
    public boolean isGranted(OrganisationId organisation, DataCentreId dataCentre) {
        return isOpen(dataCentre)
                && grant(organisation)
                        .map(grant -> grant.dataCentres().contains(dataCentre))
                        .orElse(false);
    }

    /**
     * Returns the entries in key order.
     *
     * @return the entries, never null
     */
    public Map<EntryKey, Entry> sortedEntries() {
        return new TreeMap<>(entries);
    }

    /**
     * Folds one record of the log.
     *
     * @param recordOffset the record's offset
     * @param edit the edit, not null
     * @return the state after the record and what became of the edit, never null
     */
    public FoldResult fold(long recordOffset, Edit edit) {
        if (recordOffset <= offset) {
            return new FoldResult(this, FoldResult.Status.OLD_OFFSET, List.of());
        }
        if (edit.format() != Edit.FORMAT) {
            return refused(recordOffset, FoldResult.Status.UNKNOWN_FORMAT, List.of());
        }
        if (editIds.containsKey(edit.id())) {
            return refused(recordOffset, FoldResult.Status.REPEATED, List.of());
        }
        List<EntryKey> conflicts = conflicts(edit);
        if (!conflicts.isEmpty()) {
            return refused(recordOffset, FoldResult.Status.CONFLICT, conflicts);
        }
        return new FoldResult(accepted(recordOffset, edit), FoldResult.Status.ACCEPTED, List.of());
    }

    /**
     * Moves the state past a record that is no edit, such as one that can't be read.
     *
     * @param recordOffset the record's offset
     * @return the state after the record, never null
     */
    public ConfigState plusSkipped(long recordOffset) {
        return recordOffset <= offset ? this : new ConfigState(recordOffset, entries, editIds);
    }

    private FoldResult refused(
            long recordOffset, FoldResult.Status status, List<EntryKey> conflicts) {
        return new FoldResult(plusSkipped(recordOffset), status, conflicts);
    }

    private List<EntryKey> conflicts(Edit edit) {
        List<EntryKey> conflicts = new ArrayList<>();
        for (Change change : edit.changes()) {
            long version = entry(change.key()).map(Entry::version).orElse(0L);
            if (version != change.basedOn()) {
                conflicts.add(change.key());
            }
        }
        return conflicts;
    }

    private ConfigState accepted(long recordOffset, Edit edit) {
        Map<EntryKey, Entry> next = new HashMap<>(entries);
        for (Change change : edit.changes()) {
            if (change.value().isPresent()) {
                ListValue value = change.value().get();
                next.put(change.key(), new Entry(value, recordOffset, edit.id(), edit.author()));
            } else {
                next.remove(change.key());
            }
        }
        Map<String, Long> ids = new LinkedHashMap<>(editIds);
        ids.put(edit.id(), recordOffset);
        if (ids.size() > REMEMBERED_EDITS) {
            ids.remove(ids.keySet().iterator().next());
        }
        return new ConfigState(recordOffset, next, ids);
    }
}
