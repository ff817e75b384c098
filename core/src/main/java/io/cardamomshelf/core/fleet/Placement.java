package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import java.util.ArrayList;
import java.util.List;

/**
 * The cells chosen for a whole gang: one slice for each member. The first member is the lead.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre of all members, not null
 * @param slices the members' slices, each on a different worker, not null, not empty
 */
public record Placement(DataCentreId dataCentre, List<Slice> slices) {

    /**
     * Creates a placement.
     *
     * @throws IllegalArgumentException if a value is missing or there is no member
     */
    public Placement {
        Checks.notNull("dataCentre", dataCentre);
        slices = List.copyOf(Checks.notNull("slices", slices));
        Checks.range("slices", slices.size(), 1, Demand.MAX_ACCELERATORS);
    }

    /**
     * Returns the lead member; the gang's commit is recorded on its lease.
     *
     * @return the lead, never null
     */
    public Slice lead() {
        return slices.get(0);
    }

    /**
     * Returns the number of accelerators of all members.
     *
     * @return the number, from 1
     */
    public int accelerators() {
        return slices.stream().mapToInt(Slice::accelerators).sum();
    }

    /**
     * Returns the first accelerators of the placement.
     *
     * @param accelerators how many, from 1
     * @return a placement of at most {@code accelerators} accelerators, never null
     */
    public Placement limitedTo(int accelerators) {
        List<Slice> kept = new ArrayList<>();
        int remaining = accelerators;
        for (Slice slice : slices) {
            if (remaining > 0) {
                Slice part = slice.limitedTo(remaining);
                kept.add(part);
                remaining -= part.accelerators();
            }
        }
        return new Placement(dataCentre, kept);
    }
}
