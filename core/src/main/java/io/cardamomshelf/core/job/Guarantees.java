package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.CellIndex;
import io.cardamomshelf.core.fleet.Fleet;
import java.util.HashMap;
import java.util.Map;

/**
 * The guaranteed shapes that are promised, claimed and unclaimed, and whether the unclaimed ones
 * pack.
 *
 * <p>Use: made anew of each configuration in force; {@code isPackable(dataCentre, fleet)} asks
 * whether, with all borrowed work evicted, every unclaimed shape still has its cells. Blocks are
 * powers of two and nest, so counting decides it, in steps that don't grow with the fleet.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Guarantees {

    private record ShapeKey(OrganisationId organisation, DataCentreId dataCentre, int level) {}

    private final Map<ShapeKey, Integer> promised = new HashMap<>();
    private final Map<ShapeKey, Integer> claimed = new HashMap<>();
    private final Map<DataCentreId, int[]> unclaimed = new HashMap<>();

    /**
     * Creates the book of a configuration.
     *
     * @param config the lists in force, not null
     * @param fleet the allocations whose claims count, not null
     */
    public Guarantees(ConfigState config, Fleet fleet) {
        config.entries()
                .forEach(
                        (key, entry) -> {
                            if (entry.value() instanceof Plan plan) {
                                promise(key, plan);
                            }
                        });
        fleet.allocations().forEach(allocation -> count(allocation, 1));
    }

    /**
     * Asks whether an organisation has an unclaimed block of a level.
     *
     * @param organisation the organisation, not null
     * @param dataCentre where, not null
     * @param level the block's level
     * @return true if it may claim one
     */
    public boolean canClaim(OrganisationId organisation, DataCentreId dataCentre, int level) {
        ShapeKey key = new ShapeKey(organisation, dataCentre, level);
        return claimed.getOrDefault(key, 0) < promised.getOrDefault(key, 0);
    }

    /**
     * Asks whether every unclaimed shape of a data centre packs into its reclaimable cells.
     *
     * @param dataCentre the data centre, not null
     * @param fleet the cells, not null
     * @return true if all pack
     */
    public boolean allFit(DataCentreId dataCentre, Fleet fleet) {
        int[] wanted = unclaimed.get(dataCentre);
        if (wanted == null) {
            return true;
        }
        CellIndex cells = fleet.reclaimableCells(dataCentre);
        long needed = 0;
        for (int level = CellIndex.LEVELS - 1; level >= 0; level--) {
            needed = 2 * needed + Math.max(0, wanted[level]);
            if (needed > cells.blocks(level)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts an allocation that was made.
     *
     * @param allocation the allocation, not null
     */
    public void plus(Allocation allocation) {
        count(allocation, 1);
    }

    /**
     * Counts an allocation that was released.
     *
     * @param allocation the allocation, not null
     */
    public void minus(Allocation allocation) {
        count(allocation, -1);
    }

    private void promise(EntryKey key, Plan plan) {
        for (Guarantee guarantee : plan.guarantees()) {
            int level = Integer.numberOfTrailingZeros(guarantee.accelerators());
            ShapeKey shape =
                    new ShapeKey(OrganisationId.of(key.name()), guarantee.dataCentre(), level);
            promised.merge(shape, guarantee.blocks(), Integer::sum);
            levels(guarantee.dataCentre())[level] += guarantee.blocks();
        }
    }

    private void count(Allocation allocation, int sign) {
        if (!allocation.guaranteed()) {
            return;
        }
        DataCentreId dataCentre = allocation.placement().dataCentre();
        int level = allocation.demand().level();
        ShapeKey shape = new ShapeKey(allocation.organisation(), dataCentre, level);
        claimed.merge(shape, sign, Integer::sum);
        levels(dataCentre)[level] -= sign;
    }

    private int[] levels(DataCentreId dataCentre) {
        return unclaimed.computeIfAbsent(dataCentre, any -> new int[CellIndex.LEVELS]);
    }
}
