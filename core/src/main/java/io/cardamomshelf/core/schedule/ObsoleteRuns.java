package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.JobState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Stops runs that are no longer useful: those of cancelled and failed jobs, those of gangs that
 * can't finish, and those whose start got no answer. Called by {@link SchedulerState#decide} before
 * each round.
 */
final class ObsoleteRuns {

    private ObsoleteRuns() {}

    static List<Order> stopOrders(
            Collection<LiveJob> jobs, SchedulerState state, ClockReading now) {
        List<Order> orders = new ArrayList<>();
        for (LiveJob job : jobs) {
            for (TaskGroup group : job.groups()) {
                addStops(group, state, now, orders);
            }
        }
        return orders;
    }

    private static void addStops(
            TaskGroup group, SchedulerState state, ClockReading now, List<Order> orders) {
        JobState jobState = group.owner().state();
        boolean jobAborted = jobState == JobState.CANCELLED || jobState == JobState.FAILED;
        boolean gangBroken = group.isBrokenGang() && !state.mayHaveUnreportedRuns(group.owner());
        for (Run run : group.runs()) {
            if (jobAborted || gangBroken || run.startUnanswered) {
                state.stop(run, reason(group), now).ifPresent(orders::add);
            }
        }
    }

    private static Order.StopReason reason(TaskGroup group) {
        return switch (group.owner().state()) {
            case CANCELLED -> Order.StopReason.CANCELLED;
            case FAILED -> Order.StopReason.JOB_FAILED;
            default -> Order.StopReason.START_ABORTED;
        };
    }
}
