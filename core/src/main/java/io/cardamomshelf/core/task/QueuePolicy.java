package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;

/**
 * The policy for the jobs of one queue.
 *
 * <p>Use: taken from the newest configuration. A job also stores the policy at its acceptance,
 * which determines the job's time objective, and is used if the queue has been removed since.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the queue's name, not null
 * @param service the pool of workers that runs its tasks, not null
 * @param priority 0 for the highest, which may preempt others
 * @param maxAttempts the number of failures of one task at which its job fails, 1 or more
 * @param slackFactor the factor of a job's time objective, which is this factor times the job's
 *     estimated duration, plus {@code targetMillis}
 * @param targetMillis the constant part of a job's time objective, in milliseconds
 * @param advised whether a task may start only with a ticket from the placement advice
 */
public record QueuePolicy(
        String name,
        String service,
        int priority,
        int maxAttempts,
        double slackFactor,
        long targetMillis,
        boolean advised) {

    /**
     * Creates a policy.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public QueuePolicy {
        Checks.notNull("name", name);
        Checks.notNull("service", service);
        Checks.range("priority", priority, 0, Integer.MAX_VALUE);
        Checks.range("maxAttempts", maxAttempts, 1, Integer.MAX_VALUE);
        Checks.range("targetMillis", targetMillis, 0, Long.MAX_VALUE);
    }
}
