package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;

/**
 * An amount of a worker's capacity: processor, memory and accelerators.
 *
 * <p>Use: {@code Resources.of(52_000, 270_000, 8).isWithin(free)}.
 *
 * <p>Limits: differences may be negative, as a worker that came back smaller can be overbooked.
 * Immutable and thread-safe.
 *
 * @param cpuMillis processor time a second, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, int accelerators) {

    /** Nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    private static final int NO_LIMIT = Integer.MAX_VALUE;

    /**
     * Makes an amount that is asked for or offered.
     *
     * @param cpuMillis thousandths of a core, 0 or more
     * @param memoryMb megabytes, 0 or more
     * @param accelerators accelerators, 0 or more
     * @return the amount, never null
     * @throws IllegalArgumentException if a number is negative
     */
    public static Resources of(long cpuMillis, long memoryMb, int accelerators) {
        Checks.range("cpuMillis", cpuMillis, 0, Long.MAX_VALUE);
        Checks.range("memoryMb", memoryMb, 0, Long.MAX_VALUE);
        Checks.range("accelerators", accelerators, 0, Integer.MAX_VALUE);
        return new Resources(cpuMillis, memoryMb, accelerators);
    }

    /**
     * Adds an amount.
     *
     * @param other the amount, not null
     * @return the sum, never null
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Takes an amount away.
     *
     * @param other the amount, not null
     * @return the difference, never null
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /**
     * Asks whether this amount fits into another.
     *
     * @param room the room, not null
     * @return true if no part is larger than the room's
     */
    public boolean isWithin(Resources room) {
        return fits(cpuMillis, room.cpuMillis)
                && fits(memoryMb, room.memoryMb)
                && fits(accelerators, room.accelerators);
    }

    /**
     * Counts how often this amount fits into another.
     *
     * @param room the room, not null
     * @return the number of copies, 0 or more
     */
    public int copiesIn(Resources room) {
        long copies = copies(cpuMillis, room.cpuMillis);
        copies = Math.min(copies, copies(memoryMb, room.memoryMb));
        copies = Math.min(copies, copies(accelerators, room.accelerators));
        return (int) Math.min(copies, NO_LIMIT);
    }

    /** A demand of nothing fits even where a worker is overbooked. */
    private static boolean fits(long demand, long room) {
        return demand == 0 || demand <= room;
    }

    private static long copies(long demand, long room) {
        if (demand == 0) {
            return NO_LIMIT;
        }
        return Math.max(0, room / demand);
    }
}
