package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The stored cancellations of jobs that weren't stored when they were cancelled.
 *
 * <p>The store may carry out an append seconds after its sender gave up, so no read shows that a
 * submission isn't on its way. A cancellation that is stored in the meantime holds for the job once
 * it arrives. It holds for the jobs of its own organisation only, as anyone can send a cancellation
 * with any identifier.
 *
 * <p>Limits: the scheduler drops them after a time, and an organisation may have {@link
 * #MAX_PER_ORGANISATION} of them, so that cancellations of jobs that never arrive don't fill the
 * store. Not thread-safe: belongs to the instance's event loop.
 */
public final class EarlyCancellations {

    /** The most early cancellations of one organisation. */
    static final int MAX_PER_ORGANISATION = 1_000;

    /** The most early cancellations of all organisations together. */
    static final int MAX_TOTAL = 10_000;

    private final Map<String, JobRecords.EarlyCancellation> byKey = new LinkedHashMap<>();
    private final Map<JobRecords.EarlyCancellation, Integer> counts = new HashMap<>();
    private final Map<OrganisationId, Integer> countsByOrganisation = new HashMap<>();

    /** Applies a record; the result is the cancellation that it adds, empty if it drops one. */
    Optional<JobRecords.EarlyCancellation> apply(StoredRecord record) throws StoreException {
        if (record.isTombstone()) {
            remove(byKey.remove(record.key()));
            return Optional.empty();
        }
        JobRecords.EarlyCancellation added =
                JobRecords.read(record, JobRecords.EarlyCancellation.class);
        remove(byKey.put(record.key(), added));
        counts.merge(added, 1, Integer::sum);
        countsByOrganisation.merge(added.organisation(), 1, Integer::sum);
        return Optional.of(added);
    }

    private void remove(JobRecords.EarlyCancellation removed) {
        if (removed != null) {
            counts.computeIfPresent(removed, (key, count) -> count == 1 ? null : count - 1);
            countsByOrganisation.computeIfPresent(
                    removed.organisation(), (key, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Returns whether an organisation has cancelled a job early.
     *
     * @param job the job, not null
     * @param organisation the organisation that the job belongs to, not null
     * @return true while such a cancellation is stored
     */
    public boolean contains(JobId job, OrganisationId organisation) {
        return counts.containsKey(new JobRecords.EarlyCancellation(job, organisation));
    }

    /**
     * Returns whether an organisation may store another one.
     *
     * @param organisation the organisation, not null
     * @return false if it has too many, or all organisations have together
     */
    public boolean hasRoomFor(OrganisationId organisation) {
        return byKey.size() < MAX_TOTAL
                && countsByOrganisation.getOrDefault(organisation, 0) < MAX_PER_ORGANISATION;
    }

    /**
     * Returns the cancellations by the keys of their records.
     *
     * @return a copy, never null
     */
    public Map<String, JobRecords.EarlyCancellation> byKey() {
        return Map.copyOf(byKey);
    }
}
