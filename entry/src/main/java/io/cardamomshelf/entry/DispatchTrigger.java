package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;

/**
 * Decides when a dispatch round is due: if its inputs have changed since the last round, or one
 * second has passed. With a long queue and unchanged inputs, a round would repeat the last result.
 *
 * <p>Use: {@code if (trigger.isDue(inputs, now)) ...}, then {@code recordRound(inputs, now)} with
 * the fleet version after the round, because the round itself changes it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class DispatchTrigger {

    /**
     * The longest time between two rounds. Job ages, estimated ends and whether a job can be placed
     * change with time alone.
     */
    static final long MAX_INTERVAL_MILLIS = 1_000;

    /**
     * The inputs of a round other than the time.
     *
     * @param waiting the waiting jobs in order, not null
     * @param fleetVersion the version of the fleet
     * @param configOffset the offset of the configuration
     * @param startable the data centres that may start work, not null
     */
    record Inputs(
            List<JobId> waiting,
            long fleetVersion,
            long configOffset,
            List<DataCentreId> startable) {

        Inputs {
            waiting = List.copyOf(waiting);
            startable = List.copyOf(startable);
        }

        Inputs withFleetVersion(long version) {
            return new Inputs(waiting, version, configOffset, startable);
        }
    }

    private Inputs lastInputs;
    private long lastMillis;

    boolean isDue(Inputs inputs, long nowMillis) {
        return !inputs.equals(lastInputs) || nowMillis - lastMillis >= MAX_INTERVAL_MILLIS;
    }

    void recordRound(Inputs inputs, long nowMillis) {
        lastInputs = inputs;
        lastMillis = nowMillis;
    }
}
