package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Places waiting groups of equal priority in turns of their organisations: the next turn is of the
 * organisation with the lowest weighted dominant share. Each organisation keeps the placement order
 * among its own groups.
 *
 * <p>Work within a guarantee and starved gangs come first, in placement order.
 */
final class FairTurns {

    /** Places tasks of a group. */
    @FunctionalInterface
    interface Placer {

        /**
         * Places waiting tasks of a group, at most the given number unless it is a gang. Returns
         * whether they were started and the next ones may be placed too.
         */
        boolean place(TaskGroup group, int maxTasks);
    }

    /**
     * The share of the capacity that single tasks of one group get in a turn. Smaller turns give no
     * better balance than the tasks that end between two rounds, and cost computing time.
     */
    private static final double TURN_SHARE = 0.01;

    private static final class Line {

        private final OrganisationId organisation;
        private final int position;
        private final Deque<TaskGroup> groups = new ArrayDeque<>();
        private double share;

        private Line(OrganisationId organisation, int position) {
            this.organisation = organisation;
            this.position = position;
        }
    }

    private final PlacementOrder order;
    private final DominantShares shares;
    private final ClockReading now;
    private final Placer placer;

    FairTurns(PlacementOrder order, DominantShares shares, ClockReading now, Placer placer) {
        this.order = order;
        this.shares = shares;
        this.now = now;
        this.placer = placer;
    }

    /** Places groups, which are in placement order. */
    void place(List<TaskGroup> ordered) {
        int from = 0;
        while (from < ordered.size()) {
            int to = from + 1;
            while (to < ordered.size() && order.haveEqualRank(ordered.get(from), ordered.get(to))) {
                to++;
            }
            placeEqualRank(ordered.subList(from, to));
            from = to;
        }
    }

    private void placeEqualRank(List<TaskGroup> groups) {
        List<TaskGroup> others = new ArrayList<>();
        for (TaskGroup group : groups) {
            if (order.isGuaranteed(group) || group.spec().gang() && group.hasStarved(now)) {
                placer.place(group, group.spec().count());
            } else {
                others.add(group);
            }
        }
        placeInTurns(others);
    }

    private void placeInTurns(List<TaskGroup> groups) {
        Map<OrganisationId, Line> lines = new LinkedHashMap<>();
        for (TaskGroup group : groups) {
            OrganisationId organisation = group.owner().job().organisation();
            lines.computeIfAbsent(organisation, id -> new Line(id, lines.size())).groups.add(group);
        }
        PriorityQueue<Line> queue =
                new PriorityQueue<>(
                        Comparator.<Line>comparingDouble(line -> line.share)
                                .thenComparingInt(line -> line.position));
        lines.values().forEach(line -> enqueue(queue, line));
        while (!queue.isEmpty()) {
            Line line = queue.poll();
            takeTurn(line);
            if (!line.groups.isEmpty()) {
                enqueue(queue, line);
            }
        }
    }

    private void enqueue(PriorityQueue<Line> queue, Line line) {
        line.share = shares.of(line.organisation);
        queue.add(line);
    }

    private void takeTurn(Line line) {
        TaskGroup group = line.groups.getFirst();
        if (!placer.place(group, shares.tasksWithShare(group, TURN_SHARE))) {
            line.groups.removeFirst();
        }
    }
}
