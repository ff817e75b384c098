package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.fleet.Demand;

/**
 * The specification of a job, as submitted by its caller.
 *
 * <p>Use: {@code new JobSpec(organisation, demand, false, 60_000, payload)}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation the organisation that owns the job, not null
 * @param demand the accelerators, cores and memory that it needs, not null
 * @param urgent whether it is decided before other jobs that don't claim a guaranteed block
 * @param estimateMillis the caller's estimate of its run time, in milliseconds, 1 to 30 days
 * @param payload the opaque text that the workers receive, not null, at most 65,536 characters
 */
public record JobSpec(
        OrganisationId organisation,
        Demand demand,
        boolean urgent,
        long estimateMillis,
        String payload) {

    private static final long MAX_ESTIMATE_MILLIS = 30L * 24 * 3_600 * 1_000;
    private static final int MAX_PAYLOAD = 65_536;

    /**
     * Creates a specification.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public JobSpec {
        Checks.notNull("organisation", organisation);
        Checks.notNull("demand", demand);
        Checks.range("estimateMillis", estimateMillis, 1, MAX_ESTIMATE_MILLIS);
        Checks.notNull("payload", payload);
        Checks.range("payload length", payload.length(), 0, MAX_PAYLOAD);
    }
}
