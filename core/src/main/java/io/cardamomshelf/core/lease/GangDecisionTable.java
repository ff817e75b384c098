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
 * The decision table of a gang: maps the states of its members' leases to the action to take.
 *
 * <p>The job's owner calls {@code GangDecisionTable.decide(job, placement, members)} in each round
 * of reports. The table keeps no state, so an owner that takes over after a crash makes the same
 * decision as its predecessor.
 *
 * <p>The first row that applies decides. A member is lost if its report is {@code GONE}, or is
 * {@code FRESH} and contains no lease for the job.
 *
 * <pre>
 * a member lost, no lease of any member        NONE
 * a member lost or FAILED                      STOP
 * a report STALE                               NONE
 * lead HELD (no commit yet)                    NONE
 * all DONE                                     FINISH
 * any HELD or COMMITTED                        START
 * all RUNNING or DONE                          RENEW
 * </pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class GangDecisionTable {

    /** How current the report of one member's worker is. */
    public enum ReportAge {
        /** A current report was read. */
        FRESH,
        /** The last report is outdated; the worker may still run the task. */
        STALE,
        /** No report for longer than a lease lasts; the worker has stopped the task. */
        GONE
    }

    /**
     * The current state of one member.
     *
     * @param worker the worker, not null
     * @param reportAge how current its report is, not null
     * @param lease its lease for the job, not null, empty if the worker reports none
     */
    public record Member(WorkerId worker, ReportAge reportAge, Optional<Lease> lease) {}

    private GangDecisionTable() {}

    /**
     * Decides which action to take for a gang.
     *
     * @param job the job, not null
     * @param placement its slices, lead first, not null
     * @param members the current state of each member, in the same order, not null
     * @return the action, never null
     * @throws IllegalArgumentException if the members don't match the placement
     */
    public static GangAction decide(JobId job, Placement placement, List<Member> members) {
        checkMembers(job, placement, members);
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
        return actionForCommitted(states);
    }

    private static GangAction actionForCommitted(List<LeaseState> states) {
        if (states.stream().allMatch(LeaseState.DONE::equals)) {
            return GangAction.FINISH;
        }
        boolean notStarted =
                states.contains(LeaseState.HELD) || states.contains(LeaseState.COMMITTED);
        return notStarted ? GangAction.START : GangAction.RENEW;
    }

    private static void checkMembers(JobId job, Placement placement, List<Member> members) {
        List<WorkerId> expected = placement.slices().stream().map(Slice::worker).toList();
        List<WorkerId> actual = members.stream().map(Member::worker).toList();
        Checks.notNull("job", job);
        if (!expected.equals(actual)) {
            throw new IllegalArgumentException(
                    "members: "
                            + actual
                            + " of "
                            + job
                            + " don't match its placement: "
                            + expected);
        }
    }
}
