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
 * The configuration in force at an offset of the log: the entries of the two lists (plans; grants
 * and data centres), folded from the edits in offset order.
 *
 * <p>Use: {@code state = state.fold(offset, edit).state()} for each edit. All instances that fold
 * the same records have the same state, also when operators send conflicting edits at the same
 * time.
 *
 * <p>Limits: the ids of the last 4,096 accepted edits are kept, to recognise an edit that was
 * appended twice.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset the offset of the last folded record, 0 if there is none
 * @param entries the entries in force by key, not null
 * @param editIds the ids of the latest accepted edits with their offsets, oldest first, not null
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
     * Returns whether new work may start in a data centre.
     *
     * @param dataCentre the data centre, not null
     * @return true unless operators have withdrawn the data centre
     */
    public boolean isOpen(DataCentreId dataCentre) {
        return entry(EntryKey.dataCentre(dataCentre))
                .map(entry -> ((Availability) entry.value()).in())
                .orElse(true);
    }

    /**
     * Returns whether new work of an organisation may start in a data centre.
     *
     * @param organisation the organisation, not null
     * @param dataCentre the data centre, not null
     * @return true if the organisation's grant includes the data centre and the data centre is not
     *     withdrawn
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
     * Folds one edit into the state. A refused edit changes only the offset; a record that is not
     * above the state's offset changes nothing.
     *
     * @param recordOffset the record's offset
     * @param edit the edit, not null
     * @return the state after the record and the status of the edit, never null
     */
    public FoldResult fold(long recordOffset, Edit edit) {
        if (recordOffset <= offset) {
            return new FoldResult(this, FoldResult.Status.OLD_OFFSET, List.of());
        }
        if (edit.format() != Edit.FORMAT) {
            return refuse(recordOffset, FoldResult.Status.UNKNOWN_FORMAT, List.of());
        }
        if (editIds.containsKey(edit.id())) {
            return refuse(recordOffset, FoldResult.Status.REPEATED, List.of());
        }
        List<EntryKey> conflicts = conflicts(edit);
        if (!conflicts.isEmpty()) {
            return refuse(recordOffset, FoldResult.Status.CONFLICT, conflicts);
        }
        return new FoldResult(apply(recordOffset, edit), FoldResult.Status.ACCEPTED, List.of());
    }

    /**
     * Advances the offset past a record that isn't an edit, such as an unreadable one.
     *
     * @param recordOffset the record's offset
     * @return the state after the record, never null
     */
    public ConfigState skip(long recordOffset) {
        return recordOffset <= offset ? this : new ConfigState(recordOffset, entries, editIds);
    }

    private FoldResult refuse(
            long recordOffset, FoldResult.Status status, List<EntryKey> conflicts) {
        return new FoldResult(skip(recordOffset), status, conflicts);
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

    private ConfigState apply(long recordOffset, Edit edit) {
        Map<EntryKey, Entry> next = new HashMap<>(entries);
        for (Change change : edit.changes()) {
            if (change.value().isPresent()) {
                ListValue value = change.value().get();
                next.put(change.key(), new Entry(value, recordOffset, edit.id(), edit.author()));
            } else {
                next.remove(change.key());
            }
        }
        Map<String, Long> latestIds = new LinkedHashMap<>(editIds);
        latestIds.put(edit.id(), recordOffset);
        if (latestIds.size() > REMEMBERED_EDITS) {
            latestIds.remove(latestIds.keySet().iterator().next());
        }
        return new ConfigState(recordOffset, next, latestIds);
    }
}
