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
 * Orders waiting jobs: claims of guarantees, then urgent work, then borrowers by fair share.
 *
 * <p>Use: {@code JobQueue.order(waiting, books)} at the start of a round of placements. A
 * borrower's share is what its organisation uses over its plan's weight, counting each job of the
 * round that goes before; equal shares keep the order of acceptance.
 *
 * <p>Stateless and thread-safe.
 */
public final class JobQueue {

    private record Ranked(JobTable.Job job, int group, double share, int position) {}

    private static final int CLAIM = 0;
    private static final int URGENT = 1;
    private static final int BORROWED = 2;

    private JobQueue() {}

    /**
     * Orders jobs.
     *
     * @param waiting the jobs in order of acceptance, not null
     * @param books the fleet, the claims and the plans, not null
     * @return the jobs in the order to decide them, never null
     */
    public static List<JobTable.Job> order(Collection<JobTable.Job> waiting, CapacityState books) {
        Map<OrganisationId, Integer> ahead = new HashMap<>();
        List<Ranked> ranked = new ArrayList<>();
        for (JobTable.Job job : waiting) {
            OrganisationId organisation = job.spec().organisation();
            int wanted = job.spec().demand().accelerators();
            int before = ahead.merge(organisation, wanted, Integer::sum) - wanted;
            double weight = books.config().plan(organisation).map(Plan::weight).orElse(1);
            double share = (books.fleet().used(organisation) + before) / weight;
            ranked.add(new Ranked(job, group(job, books), share, ranked.size()));
        }
        ranked.sort(
                Comparator.comparingInt(Ranked::group)
                        .thenComparingDouble(Ranked::share)
                        .thenComparingInt(Ranked::position));
        return ranked.stream().map(Ranked::job).toList();
    }

    private static int group(JobTable.Job job, CapacityState books) {
        if (books.canClaimGuarantee(job.spec())) {
            return CLAIM;
        }
        return job.spec().urgent() ? URGENT : BORROWED;
    }
}
