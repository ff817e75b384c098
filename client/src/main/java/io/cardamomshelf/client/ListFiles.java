package io.cardamomshelf.client;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.Availability;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Entry;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.config.ListValue;
import io.cardamomshelf.core.config.Plan;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The entries of the operators' two files: the organisations' plans, and their grants with the
 * availability of data centres. The operators' command reads and publishes them.
 *
 * <p>Use: {@code ListFiles.read(plans, grants).changesFrom(state)} returns the changes that turn
 * the state in force into the entries of the files.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entries the files' entries by key, not null
 */
public record ListFiles(Map<EntryKey, ListValue> entries) {

    private record PlansForm(Map<OrganisationId, Plan> plans) {}

    private record GrantsForm(
            Map<OrganisationId, Grant> grants, Map<DataCentreId, Availability> dataCentres) {}

    /**
     * Creates the lists.
     *
     * @throws NullPointerException if the map is null
     */
    public ListFiles {
        entries = Map.copyOf(entries);
    }

    /**
     * Reads both files.
     *
     * @param plans the file with the plans, not null
     * @param grants the file with the grants and data centres, not null
     * @return the lists, never null
     * @throws FileException if a file can't be read or is invalid, or a grant has no plan
     */
    public static ListFiles read(Path plans, Path grants) throws FileException {
        PlansForm plansForm = StrictYaml.read(plans, PlansForm.class);
        GrantsForm grantsForm = StrictYaml.read(grants, GrantsForm.class);
        Map<EntryKey, ListValue> entries = new TreeMap<>();
        orEmpty(plansForm.plans()).forEach((name, plan) -> entries.put(EntryKey.plan(name), plan));
        for (Map.Entry<OrganisationId, Grant> grant : orEmpty(grantsForm.grants()).entrySet()) {
            if (!entries.containsKey(EntryKey.plan(grant.getKey()))) {
                throw new FileException(
                        grants, 0, "grants." + grant.getKey(), "has no plan in " + plans);
            }
            entries.put(EntryKey.grant(grant.getKey()), grant.getValue());
        }
        orEmpty(grantsForm.dataCentres())
                .forEach(
                        (name, availability) ->
                                entries.put(EntryKey.dataCentre(name), availability));
        return new ListFiles(entries);
    }

    /**
     * Returns the changes that turn a state into these lists. Plans and grants that aren't in the
     * files are removed. A data centre that isn't in the files keeps its state, so that publishing
     * plans never restores a data centre that is withdrawn.
     *
     * @param state the state in force, not null
     * @return the changes in key order, never null, empty if there are none
     */
    public List<Change> changesFrom(ConfigState state) {
        List<Change> changes = new ArrayList<>();
        new TreeMap<>(entries)
                .forEach(
                        (key, value) -> {
                            Optional<Entry> before = state.entry(key);
                            if (before.map(Entry::value).filter(value::equals).isEmpty()) {
                                long version = before.map(Entry::version).orElse(0L);
                                changes.add(new Change(key, version, Optional.of(value)));
                            }
                        });
        state.sortedEntries()
                .forEach(
                        (key, entry) -> {
                            boolean kept = key.section() == EntryKey.Section.DATA_CENTRES;
                            if (!kept && !entries.containsKey(key)) {
                                changes.add(new Change(key, entry.version(), Optional.empty()));
                            }
                        });
        return changes;
    }

    private static <K, V> Map<K, V> orEmpty(Map<K, V> map) {
        return map == null ? Map.of() : map;
    }
}
