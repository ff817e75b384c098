package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.Plan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders waiting jobs: claims of guaranteed blocks, then urgent jobs, then the others by fair
 * share.
 *
 * <p>Use: {@code JobQueue.order(waiting, capacity)} at the start of a scheduling round. A job's
 * share is the number of accelerators that its organisation uses, plus those that the
 * organisation's waiting jobs accepted before it need, divided by the weight of the organisation's
 * plan. Jobs with equal shares stay in order of acceptance.
 *
 * <p>Stateless and thread-safe.
 */
public final class JobQueue {

    private record Ranked(JobTable.Job job, int group, double share, int position) {}

    private static final int CLAIM = 0;
    private static final int URGENT = 1;
    private static final int BORROWER = 2;

    private JobQueue() {}

    /**
     * Orders jobs.
     *
     * @param waiting the jobs in order of acceptance, not null
     * @param capacity the fleet, the guarantees and the plans, not null
     * @return the jobs in the order in which to decide them, never null
     */
    public static List<JobTable.Job> order(
            Collection<JobTable.Job> waiting, CapacityState capacity) {
        Map<OrganisationId, Integer> neededSoFar = new HashMap<>();
        List<Ranked> ranked = new ArrayList<>();
        for (JobTable.Job job : waiting) {
            OrganisationId organisation = job.spec().organisation();
            int needed = job.spec().demand().accelerators();
            int neededBefore = neededSoFar.merge(organisation, needed, Integer::sum) - needed;
            double weight = capacity.config().plan(organisation).map(Plan::weight).orElse(1);
            double share = (capacity.fleet().used(organisation) + neededBefore) / weight;
            ranked.add(new Ranked(job, group(job, capacity), share, ranked.size()));
        }
        ranked.sort(
                Comparator.comparingInt(Ranked::group)
                        .thenComparingDouble(Ranked::share)
                        .thenComparingInt(Ranked::position));
        return ranked.stream().map(Ranked::job).toList();
    }

    private static int group(JobTable.Job job, CapacityState capacity) {
        if (capacity.canClaimGuarantee(job.spec())) {
            return CLAIM;
        }
        return job.spec().urgent() ? URGENT : BORROWER;
    }
}
