package io.cardamomshelf.sessions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A disruption of a soak, drawn from its seed.
 *
 * @param atMillis when it begins, from the start of the troubles
 * @param lengthMillis how long it lasts
 * @param kind what happens
 * @param hitsScheduler whether it hits the instance that schedules, besides {@code targets}
 * @param targets the instances, workers or processes of workers that it hits, by index
 * @param detail the fault of the store or of the relays, a clock's offset in milliseconds, or the
 *     delay of calls in milliseconds
 */
record SoakTrouble(
        long atMillis,
        long lengthMillis,
        Kind kind,
        boolean hitsScheduler,
        Set<Integer> targets,
        String detail) {

    /** The kinds of disruption. */
    enum Kind {
        KILL_INSTANCES,
        TERMINATE_INSTANCES,
        FREEZE_INSTANCES,
        CUT_INSTANCES,
        RESTART_WORKERS,
        PAUSE_WORKERS,
        SICKEN_WORKERS,
        CUT_WORKERS,
        KILL_GROUPS,
        FREEZE_GROUPS,
        STORE_FAULT,
        POWER_LOSS,

        /** Calls to workers get no answer and are carried out seconds later. */
        DELAY_CALLS,

        /**
         * The same, and meanwhile the workers restart, so that the next incarnation carries the
         * calls out, and are cut off soon after.
         */
        DELAY_CALLS_ACROSS_RESTART
    }

    private static final int MEAN_GAP_MILLIS = 1_800;
    private static final int MIN_LENGTH_MILLIS = 200;
    private static final int MAX_LENGTH_MILLIS = 7_000;
    private static final int MAX_SERIES = 4;
    private static final double ALL_SHARE = 0.1;
    private static final double SCHEDULER_SHARE = 0.6;
    private static final double WHOLE_STORE_SHARE = 0.6;
    private static final List<String> STORE_FAULTS =
            List.of("reset", "refusing", "silent", "slow", "losing", "late");
    private static final List<String> CLOCK_OFFSETS = List.of("0", "0", "-60000", "-500", "60000");

    /** How long restarted workers are cut off, in milliseconds: longer than the longest lease. */
    static final long CUT_MILLIS = 11_000;

    private static final int MIN_CALL_DELAY_MILLIS = 2_000;
    private static final int MAX_CALL_DELAY_MILLIS = 12_000;

    /** Makes the draw of delayed calls independent, so that seeds keep their other troubles. */
    private static final long DELAYS_SEED = 0x64656c6179L;

    private static final int MEAN_DELAYS_GAP_MILLIS = 6_000;

    /**
     * How often each kind is drawn, in the order of the kinds; those of delayed calls are drawn by
     * themselves.
     */
    private static final int[] WEIGHTS = {5, 2, 4, 2, 3, 2, 1, 3, 2, 2, 7, 1};

    SoakTrouble {
        targets = Set.copyOf(targets);
    }

    /**
     * Draws a series of troubles that overlap.
     *
     * @param seed the seed
     * @param spanMillis the time in which they begin and end
     * @param workers the number of workers
     * @param groups the number of processes of workers
     * @return the troubles, in the order of their begin, never null
     */
    static List<SoakTrouble> draw(long seed, long spanMillis, int workers, int groups) {
        Random random = new Random(seed);
        List<SoakTrouble> troubles = new ArrayList<>();
        long at = random.nextInt(MEAN_GAP_MILLIS);
        while (at < spanMillis - MIN_LENGTH_MILLIS) {
            Kind kind = drawKind(random);
            // The same trouble may come again at once, as a series.
            int series = random.nextInt(3) == 0 ? 1 + random.nextInt(MAX_SERIES) : 1;
            for (int i = 0; i < series && at < spanMillis - MIN_LENGTH_MILLIS; i++) {
                troubles.add(draw(random, kind, at, spanMillis - at, workers, groups));
                at += MIN_LENGTH_MILLIS + random.nextInt(2 * MEAN_GAP_MILLIS);
            }
        }
        troubles.addAll(drawDelays(new Random(seed ^ DELAYS_SEED), spanMillis, workers));
        troubles.sort(Comparator.comparingLong(SoakTrouble::atMillis));
        return List.copyOf(troubles);
    }

    private static List<SoakTrouble> drawDelays(Random random, long spanMillis, int workers) {
        List<SoakTrouble> troubles = new ArrayList<>();
        for (long at = random.nextInt(MEAN_DELAYS_GAP_MILLIS);
                at < spanMillis - MIN_LENGTH_MILLIS;
                at += MIN_LENGTH_MILLIS + random.nextInt(2 * MEAN_DELAYS_GAP_MILLIS)) {
            Kind kind = random.nextBoolean() ? Kind.DELAY_CALLS : Kind.DELAY_CALLS_ACROSS_RESTART;
            long length = MIN_LENGTH_MILLIS + random.nextInt(MAX_LENGTH_MILLIS);
            int delay =
                    MIN_CALL_DELAY_MILLIS
                            + random.nextInt(MAX_CALL_DELAY_MILLIS - MIN_CALL_DELAY_MILLIS + 1);
            Set<Integer> targets = pick(random, workers, 1, 4);
            boolean isCut = kind == Kind.DELAY_CALLS_ACROSS_RESTART;
            if (at + length + delay + (isCut ? CUT_MILLIS : 0) < spanMillis) {
                troubles.add(
                        new SoakTrouble(at, length, kind, false, targets, String.valueOf(delay)));
            }
        }
        return troubles;
    }

    private static Kind drawKind(Random random) {
        int sum = 0;
        for (int weight : WEIGHTS) {
            sum += weight;
        }
        int drawn = random.nextInt(sum);
        int index = 0;
        while (drawn >= WEIGHTS[index]) {
            drawn -= WEIGHTS[index++];
        }
        return Kind.values()[index];
    }

    private static SoakTrouble draw(
            Random random, Kind kind, long at, long left, int workers, int groups) {
        long length = Math.min(left, MIN_LENGTH_MILLIS + random.nextInt(MAX_LENGTH_MILLIS));
        boolean hitsScheduler = random.nextDouble() < SCHEDULER_SHARE;
        Set<Integer> targets =
                switch (kind) {
                    case KILL_INSTANCES, TERMINATE_INSTANCES, FREEZE_INSTANCES, CUT_INSTANCES ->
                            pick(random, SoakDeployment.INSTANCES, hitsScheduler ? 0 : 1, 3);
                    case STORE_FAULT ->
                            random.nextDouble() < WHOLE_STORE_SHARE
                                    ? pick(random, SoakDeployment.INSTANCES, 7, 7)
                                    : pick(random, SoakDeployment.INSTANCES, 1, 4);
                    case KILL_GROUPS, FREEZE_GROUPS -> pick(random, groups, 1, 2);
                    case POWER_LOSS -> Set.of();
                    default -> pick(random, workers, 1, 6);
                };
        String detail =
                switch (kind) {
                    case STORE_FAULT -> STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
                    case CUT_INSTANCES, CUT_WORKERS ->
                            SoakRelay.Fault.values()[
                                    1 + random.nextInt(SoakRelay.Fault.values().length - 1)]
                                    .name();
                    default -> CLOCK_OFFSETS.get(random.nextInt(CLOCK_OFFSETS.size()));
                };
        return new SoakTrouble(at, length, kind, hitsScheduler, targets, detail);
    }

    /** Picks {@code min} to {@code max} of the indexes below {@code bound}, at times all. */
    private static Set<Integer> pick(Random random, int bound, int min, int max) {
        int count =
                random.nextDouble() < ALL_SHARE
                        ? bound
                        : Math.min(bound, min + random.nextInt(max - min + 1));
        Set<Integer> picked = new TreeSet<>();
        while (picked.size() < count) {
            picked.add(random.nextInt(bound));
        }
        return picked;
    }
}
