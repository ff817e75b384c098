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
 * Counts the guaranteed and the claimed blocks of each organisation, and checks that all unclaimed
 * blocks fit at the same time.
 *
 * <p>Use: {@link CapacityState} creates one for each configuration that takes effect. {@code
 * allFit(dataCentre, fleet)} returns whether every unclaimed block would find its cells if all
 * borrowed work were evicted. Block sizes are powers of two and blocks nest, so it is enough to
 * count the blocks of each level. The cost doesn't grow with the fleet.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Guarantees {

    private record BlockKey(OrganisationId organisation, DataCentreId dataCentre, int level) {}

    private final Map<BlockKey, Integer> guaranteed = new HashMap<>();
    private final Map<BlockKey, Integer> claimed = new HashMap<>();

    /** The unclaimed blocks of all organisations by level, below 0 if too many are claimed. */
    private final Map<DataCentreId, int[]> unclaimed = new HashMap<>();

    /**
     * Counts the guaranteed blocks of a configuration and the claims of a fleet.
     *
     * @param config the configuration in force, not null
     * @param fleet the fleet whose allocations are counted as claims, not null
     */
    public Guarantees(ConfigState config, Fleet fleet) {
        config.entries()
                .forEach(
                        (key, entry) -> {
                            if (entry.value() instanceof Plan plan) {
                                addGuarantees(key, plan);
                            }
                        });
        fleet.allocations().forEach(allocation -> countClaim(allocation, 1));
    }

    /**
     * Returns whether an organisation has an unclaimed guaranteed block of a level.
     *
     * @param organisation the organisation, not null
     * @param dataCentre the data centre of the block, not null
     * @param level the block's level: the binary logarithm of its number of accelerators
     * @return true if the organisation may claim one
     */
    public boolean canClaim(OrganisationId organisation, DataCentreId dataCentre, int level) {
        BlockKey key = new BlockKey(organisation, dataCentre, level);
        return claimed.getOrDefault(key, 0) < guaranteed.getOrDefault(key, 0);
    }

    /**
     * Returns whether all unclaimed blocks of a data centre fit into its reclaimable cells at the
     * same time.
     *
     * @param dataCentre the data centre, not null
     * @param fleet the fleet with the cells, not null
     * @return true if all fit
     */
    public boolean allFit(DataCentreId dataCentre, Fleet fleet) {
        int[] blocks = unclaimed.get(dataCentre);
        if (blocks == null) {
            return true;
        }
        CellIndex cells = fleet.reclaimableCells(dataCentre);
        long needed = 0;
        for (int level = CellIndex.LEVELS - 1; level >= 0; level--) {
            needed = 2 * needed + Math.max(0, blocks[level]);
            if (needed > cells.blocks(level)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts the claim of a new allocation.
     *
     * @param allocation the allocation, not null; ignored if it is not guaranteed
     */
    public void add(Allocation allocation) {
        countClaim(allocation, 1);
    }

    /**
     * Removes the claim of a released allocation.
     *
     * @param allocation the allocation, not null; ignored if it is not guaranteed
     */
    public void remove(Allocation allocation) {
        countClaim(allocation, -1);
    }

    private void addGuarantees(EntryKey key, Plan plan) {
        for (Guarantee guarantee : plan.guarantees()) {
            int level = Integer.numberOfTrailingZeros(guarantee.accelerators());
            BlockKey block =
                    new BlockKey(OrganisationId.of(key.name()), guarantee.dataCentre(), level);
            guaranteed.merge(block, guarantee.blocks(), Integer::sum);
            unclaimedByLevel(guarantee.dataCentre())[level] += guarantee.blocks();
        }
    }

    private void countClaim(Allocation allocation, int sign) {
        if (!allocation.guaranteed()) {
            return;
        }
        DataCentreId dataCentre = allocation.placement().dataCentre();
        int level = allocation.demand().level();
        BlockKey block = new BlockKey(allocation.organisation(), dataCentre, level);
        claimed.merge(block, sign, Integer::sum);
        unclaimedByLevel(dataCentre)[level] -= sign;
    }

    private int[] unclaimedByLevel(DataCentreId dataCentre) {
        return unclaimed.computeIfAbsent(dataCentre, key -> new int[CellIndex.LEVELS]);
    }
}
