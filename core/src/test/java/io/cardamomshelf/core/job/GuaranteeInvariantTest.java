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

/** An organisation's guaranteed shape can always be reclaimed. */
class GuaranteeInvariantTest {

    private static final OrganisationId A = OrganisationId.of("a");
    private static final OrganisationId B = OrganisationId.of("b");
    private static final int STEPS = 300;

    /** A fleet with jobs that come and go at random, and a check after every step. */
    private static final class World {
        private final Random random;
        private final CapacityState books = new CapacityState();
        private final Map<JobId, Allocation> running = new HashMap<>();
        private int jobs;

        World(long seed, int racks) {
            random = new Random(seed);
            for (int rack = 0; rack < racks; rack++) {
                int accelerators = 4 << random.nextInt(2);
                for (int index = 0; index < 1 + random.nextInt(8); index++) {
                    books.fleet().put(Fixtures.worker(rack, index, accelerators));
                }
            }
            books.reconfigure(promises());
        }

        /** Promises random shapes as long as they pack. */
        private ConfigState promises() {
            List<List<Guarantee>> promised = List.of(new ArrayList<>(), new ArrayList<>());
            ConfigState state = lists(promised);
            for (int tries = 0; tries < 12; tries++) {
                List<Guarantee> one = promised.get(random.nextInt(2));
                one.add(
                        new Guarantee(
                                Fixtures.DATA_CENTRE,
                                1 << random.nextInt(6),
                                1 + random.nextInt(3)));
                books.reconfigure(lists(promised));
                if (books.guaranteesFit(Fixtures.DATA_CENTRE)) {
                    state = lists(promised);
                } else {
                    one.remove(one.size() - 1);
                }
            }
            return state;
        }

        private static ConfigState lists(List<List<Guarantee>> promised) {
            return Fixtures.configuration(List.of(A, B), promised);
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
            boolean claimable = books.canClaimGuarantee(spec);
            Decision decision = books.placer(site -> true).decide(id, spec, jobs);
            if (claimable) {
                Decision.Place place =
                        assertInstanceOf(Decision.Place.class, decision, () -> "claim of " + spec);
                assertTrue(place.allocation().guaranteed());
            }
            if (decision instanceof Decision.Place place) {
                place.victims().forEach(victim -> end(victim.job()));
                books.allocate(place.allocation());
                running.put(id, place.allocation());
            }
        }

        private void end(JobId id) {
            running.remove(id);
            books.release(id);
        }

        void check() {
            assertTrue(
                    books.guaranteesFit(Fixtures.DATA_CENTRE), "an unclaimed shape doesn't pack");
            Map<WorkerId, Long> used = new HashMap<>();
            for (Allocation allocation : running.values()) {
                for (Slice slice : allocation.placement().slices()) {
                    long before = used.getOrDefault(slice.worker(), 0L);
                    assertEquals(0, before & slice.mask(), "an accelerator is used twice");
                    used.put(slice.worker(), before | slice.mask());
                }
            }
        }
    }

    @Property(tries = 300, seed = "4711")
    void everyClaimIsMetAndTheRestStillPacks(@ForAll long seed) {
        World world = new World(seed, 4);
        for (int step = 0; step < STEPS; step++) {
            world.step();
            world.check();
        }
    }

    @Nested
    class Outage {

        @Test
        void ofAWorkerIsSaidAtOnceAndPassesByItself() {
            CapacityState books = new CapacityState();
            Worker first = Fixtures.worker(0, 0);
            Worker second = Fixtures.worker(0, 1);
            books.fleet().put(first);
            books.fleet().put(second);
            List<Guarantee> promised = List.of(new Guarantee(Fixtures.DATA_CENTRE, 16, 1));
            books.reconfigure(Fixtures.configuration(List.of(A), List.of(promised)));
            assertTrue(books.guaranteesFit(Fixtures.DATA_CENTRE));
            books.fleet().remove(first.id());
            assertEquals(false, books.guaranteesFit(Fixtures.DATA_CENTRE));
            JobSpec large = Fixtures.spec(A, 16);
            assertTrue(
                    books.placer(site -> true).refusalReason(large).isEmpty(),
                    "a job that fits once the worker is back isn't refused for good");
            books.fleet().put(first);
            assertTrue(books.guaranteesFit(Fixtures.DATA_CENTRE));
            books.fleet().forget(first.id(), Fixtures.DATA_CENTRE);
            assertTrue(books.placer(site -> true).refusalReason(large).isPresent());
        }
    }

    @Nested
    class Blocks {

        @Test
        void areCountedAsCellsComeAndGo() {
            CapacityState books = new CapacityState();
            for (int index = 0; index < 8; index++) {
                books.fleet().put(Fixtures.worker(0, index));
            }
            CellIndex free = books.fleet().freeCells(Fixtures.DATA_CENTRE);
            assertEquals(64, free.blocks(0));
            assertEquals(8, free.blocks(3));
            assertEquals(1, free.blocks(6));
            books.reconfigure(Fixtures.configuration(List.of(A), List.of(List.of())));
            Decision decision =
                    books.placer(site -> true).decide(Fixtures.job(1), Fixtures.spec(A, 3), 0);
            Placement cells = ((Decision.Place) decision).allocation().placement();
            books.allocate(((Decision.Place) decision).allocation());
            assertEquals(3, cells.accelerators());
            assertEquals(61, free.blocks(0));
            assertEquals(7, free.blocks(3));
            assertEquals(0, free.blocks(6));
            books.release(Fixtures.job(1));
            assertEquals(1, free.blocks(6));
        }
    }
}
