package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The truth table of a gang: from the states of its members' leases to the one action to take.
 *
 * <p>Use: {@code GangTable.decide(job, placement, members)} at each round of reports. The table has
 * no memory, so an owner that takes over after a crash decides as its predecessor would have.
 *
 * <pre>
 * a member lost or absent, any other present   STOP
 * any FAILED                                   STOP
 * all DONE                                     FINISH
 * lead HELD (no commit yet)                    NONE
 * lead COMMITTED or RUNNING, others HELD       START
 * all RUNNING or DONE                          RENEW
 * a report is missing                          NONE
 * </pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class GangDecisionTable {

    /** What is known of one member's worker. */
    public enum ReportAge {
        /** A fresh report was read. */
        FRESH,
        /** The last report is old; the worker may still run the task. */
        STALE,
        /** The worker is gone longer than a lease lasts; its task has stopped. */
        GONE
    }

    /**
     * One member as seen now.
     *
     * @param worker the worker, not null
     * @param sight what is known of it, not null
     * @param lease its lease for the job, not null, empty if it reports none
     */
    public record Member(WorkerId worker, ReportAge reportAge, Optional<Lease> lease) {}

    private GangDecisionTable() {}

    /**
     * Decides about a gang.
     *
     * @param job the job, not null
     * @param placement its members, lead first, not null
     * @param members what is seen of each, in the same order, not null
     * @return the action, never null
     * @throws IllegalArgumentException if the members aren't the placement's
     */
    public static GangAction decide(JobId job, Placement placement, List<Member> members) {
        checkOrder(job, placement, members);
        List<LeaseState> states = new ArrayList<>();
        boolean stale = false;
        boolean lost = false;
        for (Member member : members) {
            stale |= member.reportAge() == ReportAge.STALE;
            lost |= member.reportAge() == ReportAge.GONE;
            lost |= member.reportAge() == ReportAge.FRESH && member.lease().isEmpty();
            member.lease().map(Lease::state).ifPresent(states::add);
        }
        boolean failed = states.contains(LeaseState.FAILED);
        if (lost || failed) {
            return states.isEmpty() ? GangAction.NONE : GangAction.STOP;
        }
        if (stale || states.get(0) == LeaseState.HELD) {
            return GangAction.NONE;
        }
        return whole(states);
    }

    private static GangAction whole(List<LeaseState> states) {
        if (states.stream().allMatch(LeaseState.DONE::equals)) {
            return GangAction.FINISH;
        }
        boolean waiting = states.contains(LeaseState.HELD) || states.contains(LeaseState.COMMITTED);
        return waiting ? GangAction.START : GangAction.RENEW;
    }

    private static void checkOrder(JobId job, Placement placement, List<Member> members) {
        List<WorkerId> placed = placement.slices().stream().map(Slice::worker).toList();
        List<WorkerId> seen = members.stream().map(Member::worker).toList();
        Checks.notNull("job", job);
        if (!placed.equals(seen)) {
            throw new IllegalArgumentException(
                    "members: " + seen + " of " + job + " aren't those placed: " + placed);
        }
    }
}
