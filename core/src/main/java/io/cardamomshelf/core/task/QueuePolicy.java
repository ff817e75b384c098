package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;

/**
 * How the jobs of one queue are run.
 *
 * <p>Use: taken from the newest configuration; a job keeps the one of its acceptance for when the
 * queue has been removed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the queue's name, not null
 * @param service the pool of workers that runs its tasks, not null
 * @param priority 0 for the most urgent, which may preempt others
 * @param maxAttempts the failures of one task after which its job has failed, 1 or more
 * @param slackFactor how often its work's own length a job may take to be in time
 * @param targetMillis the time on top of that, in milliseconds
 * @param advised whether a task starts only with a ticket of the placement advice
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
