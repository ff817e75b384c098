package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared run times by each organisation's own error, as a quantile of what it has run.
 *
 * <p>Use: {@code plus(organisation, declared, actual)} at each end, and {@code corrected(spec)}
 * before a decision. Until an organisation has a history, its declared times are taken as they are.
 *
 * <p>Limits: remembers the last 64 ends of each organisation.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class RunTimeEstimates {

    private static final int REMEMBERED = 64;
    private static final int LEAST_HISTORY = 5;
    private static final int PERCENT = 100;
    private static final int MAX_PERCENT = 99;

    private final int percent;
    private final Map<OrganisationId, Deque<Double>> ratios = new HashMap<>();
    private final Map<OrganisationId, Double> factors = new HashMap<>();

    /**
     * Creates estimates without history.
     *
     * @param percent the share of jobs that end within their corrected time, 1 to 99
     * @throws IllegalArgumentException if the share is out of range
     */
    public RunTimeEstimates(int percent) {
        this.percent = (int) Checks.range("percent", percent, 1, MAX_PERCENT);
    }

    /**
     * Learns from a job that ended.
     *
     * @param organisation whose job it was, not null
     * @param declaredMillis its declared run time, in milliseconds, above 0
     * @param actualMillis its actual run time, in milliseconds
     */
    public void add(OrganisationId organisation, long declaredMillis, long actualMillis) {
        Deque<Double> history = ratios.computeIfAbsent(organisation, any -> new ArrayDeque<>());
        history.addLast(actualMillis / (double) declaredMillis);
        if (history.size() > REMEMBERED) {
            history.removeFirst();
        }
        if (history.size() >= LEAST_HISTORY) {
            double[] sorted = history.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            factors.put(organisation, sorted[(sorted.length - 1) * percent / PERCENT]);
        }
    }

    /**
     * Returns a job's corrected run time.
     *
     * @param spec the job, not null
     * @return the run time, in milliseconds
     */
    public long correctedMillis(JobSpec spec) {
        return correctedMillis(spec.organisation(), spec.estimateMillis());
    }

    /**
     * Returns the corrected run time of any job of an organisation.
     *
     * @param organisation the organisation, not null
     * @param declaredMillis the declared run time, in milliseconds
     * @return the run time, in milliseconds, from 1
     */
    public long correctedMillis(OrganisationId organisation, long declaredMillis) {
        double factor = factors.getOrDefault(organisation, 1.0);
        return Math.max(1, (long) (declaredMillis * factor));
    }
}
