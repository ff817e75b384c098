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
 * The operators' two files: plans, and what each plan may use.
 *
 * <p>Use: {@code ListFiles.read(plans, grants).changes(state)} gives the changes that lead from the
 * state in force to the files.
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
     * @param plans the file of plans, not null
     * @param grants the file of grants and data centres, not null
     * @return the lists, never null
     * @throws FileException if a file is wrong, or a grant has no plan
     */
    public static ListFiles read(Path plans, Path grants) throws FileException {
        PlansForm planned = StrictYaml.read(plans, PlansForm.class);
        GrantsForm granted = StrictYaml.read(grants, GrantsForm.class);
        Map<EntryKey, ListValue> entries = new TreeMap<>();
        orEmpty(planned.plans()).forEach((name, plan) -> entries.put(EntryKey.plan(name), plan));
        for (Map.Entry<OrganisationId, Grant> grant : orEmpty(granted.grants()).entrySet()) {
            if (!entries.containsKey(EntryKey.plan(grant.getKey()))) {
                throw new FileException(
                        grants, 0, "grants." + grant.getKey(), "has no plan in " + plans);
            }
            entries.put(EntryKey.grant(grant.getKey()), grant.getValue());
        }
        orEmpty(granted.dataCentres())
                .forEach((name, site) -> entries.put(EntryKey.dataCentre(name), site));
        return new ListFiles(entries);
    }

    /**
     * Returns the changes that lead from a state to these lists. A data centre that the file
     * doesn't name is left as it is, so that publishing plans never brings one back.
     *
     * @param state the state in force, not null
     * @return the changes in key order, never null, empty if there are none
     */
    public List<Change> changes(ConfigState state) {
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
