package io.cardamomshelf.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.Fixtures;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.CellIndex;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.fleet.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that an organisation can always claim its guaranteed blocks. */
class GuaranteeInvariantTest {

    private static final OrganisationId A = OrganisationId.of("a");
    private static final OrganisationId B = OrganisationId.of("b");
    private static final int STEPS = 300;

    /** Simulates a fleet on which jobs start and end at random. */
    private static final class Simulation {
        private final Random random;
        private final CapacityState capacity = new CapacityState();
        private final Map<JobId, Allocation> running = new HashMap<>();
        private int jobs;

        Simulation(long seed, int racks) {
            random = new Random(seed);
            for (int rack = 0; rack < racks; rack++) {
                int accelerators = 4 << random.nextInt(2);
                for (int index = 0; index < 1 + random.nextInt(8); index++) {
                    capacity.fleet().put(Fixtures.worker(rack, index, accelerators));
                }
            }
            capacity.reconfigure(randomGuarantees());
        }

        /** Returns random guarantees that fit into the fleet together. */
        private ConfigState randomGuarantees() {
            List<List<Guarantee>> guarantees = List.of(new ArrayList<>(), new ArrayList<>());
            ConfigState state = configurationOf(guarantees);
            for (int tries = 0; tries < 12; tries++) {
                List<Guarantee> chosen = guarantees.get(random.nextInt(2));
                chosen.add(
                        new Guarantee(
                                Fixtures.DATA_CENTRE,
                                1 << random.nextInt(6),
                                1 + random.nextInt(3)));
                capacity.reconfigure(configurationOf(guarantees));
                if (capacity.guaranteesFit(Fixtures.DATA_CENTRE)) {
                    state = configurationOf(guarantees);
                } else {
                    chosen.remove(chosen.size() - 1);
                }
            }
            return state;
        }

        private static ConfigState configurationOf(List<List<Guarantee>> guarantees) {
            return Fixtures.configuration(List.of(A, B), guarantees);
        }

        void step() {
            if (random.nextInt(3) == 0 && !running.isEmpty()) {
                List<JobId> ids = running.keySet().stream().sorted().toList();
                end(ids.get(random.nextInt(ids.size())));
            } else {
                submit(random.nextBoolean() ? A : B, 1 + random.nextInt(40));
            }
        }

        private void submit(OrganisationId organisation, int accelerators) {
            JobSpec spec = Fixtures.spec(organisation, accelerators);
            JobId id = Fixtures.job(++jobs);
            boolean canClaim = capacity.canClaimGuarantee(spec);
            Decision decision = capacity.placer(dataCentre -> true).decide(id, spec, jobs);
            if (canClaim) {
                Decision.Place place =
                        assertInstanceOf(
                                Decision.Place.class,
                                decision,
                                () -> "a claim was not placed: " + spec);
                assertTrue(place.allocation().guaranteed());
            }
            if (decision instanceof Decision.Place place) {
                place.victims().forEach(victim -> end(victim.job()));
                capacity.allocate(place.allocation());
                running.put(id, place.allocation());
            }
        }

        private void end(JobId id) {
            running.remove(id);
            capacity.release(id);
        }

        void check() {
            assertTrue(
                    capacity.guaranteesFit(Fixtures.DATA_CENTRE),
                    "the unclaimed guaranteed blocks don't fit");
            Map<WorkerId, Long> used = new HashMap<>();
            for (Allocation allocation : running.values()) {
                for (Slice slice : allocation.placement().slices()) {
                    long before = used.getOrDefault(slice.worker(), 0L);
                    assertEquals(0, before & slice.mask(), "an accelerator is allocated twice");
                    used.put(slice.worker(), before | slice.mask());
                }
            }
        }
    }

    @Property(tries = 300, seed = "4711")
    void everyClaimIsPlacedAndUnclaimedGuaranteesStillFit(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, 4);
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
            simulation.check();
        }
    }

    @Nested
    class WorkerOutage {

        @Test
        void breaksGuaranteesAtOnceUntilTheWorkerReturns() {
            CapacityState capacity = new CapacityState();
            Worker first = Fixtures.worker(0, 0);
            Worker second = Fixtures.worker(0, 1);
            capacity.fleet().put(first);
            capacity.fleet().put(second);
            List<Guarantee> guarantees = List.of(new Guarantee(Fixtures.DATA_CENTRE, 16, 1));
            capacity.reconfigure(Fixtures.configuration(List.of(A), List.of(guarantees)));
            assertTrue(capacity.guaranteesFit(Fixtures.DATA_CENTRE));
            capacity.fleet().remove(first.id());
            assertEquals(false, capacity.guaranteesFit(Fixtures.DATA_CENTRE));
            JobSpec large = Fixtures.spec(A, 16);
            assertTrue(
                    capacity.placer(dataCentre -> true).refusalReason(large).isEmpty(),
                    "a job that fits when the worker returns must not be refused");
            capacity.fleet().put(first);
            assertTrue(capacity.guaranteesFit(Fixtures.DATA_CENTRE));
            capacity.fleet().forget(first.id(), Fixtures.DATA_CENTRE);
            assertTrue(capacity.placer(dataCentre -> true).refusalReason(large).isPresent());
        }
    }

    @Nested
    class FreeBlockCounts {

        @Test
        void followAllocationAndRelease() {
            CapacityState capacity = new CapacityState();
            for (int index = 0; index < 8; index++) {
                capacity.fleet().put(Fixtures.worker(0, index));
            }
            CellIndex free = capacity.fleet().freeCells(Fixtures.DATA_CENTRE);
            assertEquals(64, free.blocks(0));
            assertEquals(8, free.blocks(3));
            assertEquals(1, free.blocks(6));
            capacity.reconfigure(Fixtures.configuration(List.of(A), List.of(List.of())));
            Decision decision =
                    capacity.placer(dataCentre -> true)
                            .decide(Fixtures.job(1), Fixtures.spec(A, 3), 0);
            Placement cells = ((Decision.Place) decision).allocation().placement();
            capacity.allocate(((Decision.Place) decision).allocation());
            assertEquals(3, cells.accelerators());
            assertEquals(61, free.blocks(0));
            assertEquals(7, free.blocks(3));
            assertEquals(0, free.blocks(6));
            capacity.release(Fixtures.job(1));
            assertEquals(1, free.blocks(6));
        }
    }
}
