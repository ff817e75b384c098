package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * What a scheduler has learnt about workers from the runs there. None of it is stored: a new
 * scheduler learns it again, and decides without it until then.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
final class FleetObservations {

    private final StragglerDetector stragglerDetector = new StragglerDetector();
    private final FlapDetector flapDetector = new FlapDetector();

    /** Updates what follows from the progress of the current runs; called before each round. */
    void update(Collection<WorkerState> workers, ClockReading now) {
        stragglerDetector.update(workers, now.monotonicMillis());
        flapDetector.update(workers, now.monotonicMillis());
    }

    Set<WorkerId> stragglers() {
        return stragglerDetector.stragglers();
    }

    FlapDetector flapDetector() {
        return flapDetector;
    }

    /** The cost of placing tasks on workers, by what was learnt about both. */
    HostCost hostCost() {
        return HostCost.sumOf(List.of());
    }
}
