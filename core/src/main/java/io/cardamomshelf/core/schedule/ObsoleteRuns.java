package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.JobState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Chooses the runs to stop because nothing can come of them any more. */
final class ObsoleteRuns {

    private ObsoleteRuns() {}

    static List<Order> stops(Collection<LiveJob> jobs, SchedulerState board, ClockReading now) {
        List<Order> orders = new ArrayList<>();
        for (LiveJob job : jobs) {
            for (TaskGroup group : job.groups()) {
                stop(group, board, now, orders);
            }
        }
        return orders;
    }

    private static void stop(
            TaskGroup group, SchedulerState board, ClockReading now, List<Order> orders) {
        JobState state = group.owner().state();
        boolean over = state == JobState.CANCELLED || state == JobState.FAILED;
        boolean broken = group.isBroken() && !board.isUncertain(group.owner());
        for (Run run : group.runs()) {
            if (over || broken || run.abort) {
                board.stop(run, reason(group), now).ifPresent(orders::add);
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
