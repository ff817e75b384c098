package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared run times by the estimation error of each organisation.
 *
 * <p>The correction factor is a quantile of the ratios of actual to declared run time of the
 * organisation's ended jobs.
 *
 * <p>Use: the entry instance's job runner calls {@code add(organisation, declaredMillis,
 * actualMillis)} when a job ends, and {@link Dispatcher} calls {@code correctedMillis(spec)} before
 * a decision. Declared run times are used unchanged until five jobs of the organisation have ended.
 *
 * <p>Limits: keeps the last 64 ended jobs of each organisation.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class RunTimeEstimates {

    private static final int MAX_HISTORY = 64;
    private static final int MIN_HISTORY = 5;
    private static final int PERCENT = 100;
    private static final int MAX_PERCENT = 99;

    private final int percent;
    private final Map<OrganisationId, Deque<Double>> ratios = new HashMap<>();
    private final Map<OrganisationId, Double> factors = new HashMap<>();

    /**
     * Creates estimates without history.
     *
     * @param percent the percentage of jobs that end within their corrected run time, 1 to 99
     * @throws IllegalArgumentException if the percentage is out of range
     */
    public RunTimeEstimates(int percent) {
        this.percent = (int) Checks.range("percent", percent, 1, MAX_PERCENT);
    }

    /**
     * Adds a job that ended to the history of its organisation.
     *
     * @param organisation the organisation of the job, not null
     * @param declaredMillis its declared run time, in milliseconds, above 0
     * @param actualMillis its actual run time, in milliseconds
     */
    public void add(OrganisationId organisation, long declaredMillis, long actualMillis) {
        Deque<Double> history = ratios.computeIfAbsent(organisation, key -> new ArrayDeque<>());
        history.addLast(actualMillis / (double) declaredMillis);
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
        if (history.size() >= MIN_HISTORY) {
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
     * Returns the corrected run time of a job of an organisation.
     *
     * @param organisation the organisation, not null
     * @param declaredMillis the declared run time, in milliseconds
     * @return the run time, in milliseconds, at least 1
     */
    public long correctedMillis(OrganisationId organisation, long declaredMillis) {
        double factor = factors.getOrDefault(organisation, 1.0);
        return Math.max(1, (long) (declaredMillis * factor));
    }
}
