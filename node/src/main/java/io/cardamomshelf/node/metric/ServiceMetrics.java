package io.cardamomshelf.node.metric;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The service's counters and latency histograms.
 *
 * <p>Use: {@code metrics.count(Name.CALLS, 503)}. Names and label values come from fixed sets, so
 * that the number of series is bounded. A test compares {@code docs/METRICS.md} with {@link Name}.
 *
 * <p>Thread-safe.
 */
public final class ServiceMetrics {

    /** The metrics. The name of a series is the metric's name followed by its label values. */
    public enum Name {
        /** Calls by HTTP status. */
        CALLS("Calls of callers, by HTTP status."),
        /** Durations of calls. */
        CALL_MILLIS("How long calls of callers took, in milliseconds, by method."),
        /** Calls to the store. */
        STORE_CALLS("Calls to the store, by kind, stream and outcome."),
        /** Durations of appends. */
        APPEND_MILLIS("How long appends took, in milliseconds, by writer."),
        /** Calls to workers. */
        ORDERS("Calls to workers, by kind and answer."),
        /** Waiting times of jobs for their first start. */
        FIRST_START_MILLIS(
                "From the acceptance of a job to its first start, in milliseconds, by priority."),
        /** Durations of jobs. */
        JOB_MILLIS("From the acceptance of a job to its stored end, by priority and state."),
        /** Stopped runs. */
        STOPS("Runs that the scheduler ordered to stop, by reason and priority."),
        /** Ended runs. */
        RUN_ENDS("Ends of runs that workers reported, by kind of end."),
        /** Elections. */
        ELECTIONS("Elections that this process ran in, by outcome."),
        /** Age of the configuration. */
        CONFIGURATION_AGE_MILLIS(
                "Time since the configuration was last known to be current, in milliseconds."),
        /** Age of the view of the jobs. */
        JOBS_AGE_MILLIS("Time since the jobs were last known to be current, in milliseconds."),
        /** Age of the view of the workers. */
        WORKERS_AGE_MILLIS(
                "Time since the workers were last known to be current, in milliseconds."),
        /** Whether this process is the scheduler. */
        LEADING("1 while this process is the scheduler, else 0."),
        /** Free accelerators. */
        FREE_ACCELERATORS("Accelerators without a run, at the scheduler, else 0."),
        /** Reserved accelerators. */
        HELD_ACCELERATORS("Free accelerators reserved for waiting work, at the scheduler, else 0."),
        /** Pairs of kinds of tasks that interfere. */
        INTERFERING_PAIRS(
                "Pairs of kinds of tasks that are known to slow each other down on one worker, at"
                        + " the scheduler, else 0."),
        /** Starts that avoided interference. */
        STARTS_AVOIDING_INTERFERENCE(
                "Starts on a worker with less interference than another one that had room."),
        /** Workers with a known speed. */
        KNOWN_WORKER_SPEEDS("Workers whose relative speed is known, at the scheduler, else 0."),
        /** Lowest speed of a worker. */
        LOWEST_WORKER_SPEED_PERCENT(
                "The lowest known speed of a worker, in percent of the fleet's mean, else 100."),
        /** Highest speed of a worker. */
        HIGHEST_WORKER_SPEED_PERCENT(
                "The highest known speed of a worker, in percent of the fleet's mean, else 100."),
        /** Accelerators in use by organisation. */
        USED_ACCELERATORS(
                "Accelerators of tasks that may be running, by organisation with a cap, at the"
                        + " scheduler, else 0."),
        /** Caps by organisation. */
        CAP_ACCELERATORS(
                "Accelerators that may be in use, by organisation with a cap, at the scheduler,"
                        + " else 0; 0 if they are unlimited."),
        /** Groups that wait for a cap. */
        GROUPS_OVER_CAP(
                "Groups of tasks that wait for the cap of their organisation, at the scheduler,"
                        + " else 0."),
        /** Errors of callers' estimates. */
        ESTIMATION_ERROR_PERCENT(
                "Differences between estimated and actual run times, in percent of the latter, by"
                        + " queue."),
        /** Calls in flight. */
        IN_FLIGHT("Calls of callers that aren't answered yet."),
        /** Exceeded limits. */
        CALLERS_LIMITED(
                "Connections closed and requests rejected by a limit for clients, by limit."),
        /** Connections of callers. */
        CALLERS_CONNECTIONS("Open connections of callers."),
        /** Bodies in memory. */
        CALLERS_BODY_BYTES("Bytes of callers' bodies in memory."),
        /** Unread responses and waiting requests. */
        CALLERS_QUEUED_BYTES(
                "Bytes of responses that clients haven't read and of requests that wait for the one"
                        + " before them.");

        private final String description;

        Name(String description) {
            this.description = description;
        }

        /**
         * Returns what the metric measures, in one sentence.
         *
         * @return the sentence, never null
         */
        public String description() {
            return description;
        }

        /**
         * Returns the metric's name as it is exported.
         *
         * @return the name, never null
         */
        public String exportedName() {
            return "cardamomshelf_" + name().toLowerCase(Locale.ROOT);
        }
    }

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Increments a counter by one.
     *
     * @param name the metric, not null
     * @param labelValues the label values of the series, not null
     */
    public void count(Name name, Object... labelValues) {
        registry.counter(seriesName(name, labelValues)).inc();
    }

    /**
     * Increments a counter.
     *
     * @param name the metric, not null
     * @param amount the amount, 0 or more
     */
    public void add(Name name, long amount) {
        registry.counter(name.exportedName()).inc(amount);
    }

    /**
     * Records a duration; a negative one counts as 0.
     *
     * @param name the metric, not null
     * @param millis the duration, in milliseconds
     * @param labelValues the label values of the series, not null
     */
    public void recordDuration(Name name, long millis, Object... labelValues) {
        registry.timer(seriesName(name, labelValues))
                .update(Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Records a value, of which quantiles are exported.
     *
     * @param name the metric, not null
     * @param value the value
     * @param labelValues the label values of the series, not null
     */
    public void recordValue(Name name, long value, Object... labelValues) {
        registry.histogram(seriesName(name, labelValues)).update(value);
    }

    /**
     * Registers a gauge, whose value is read at each export.
     *
     * @param name the metric, not null
     * @param value supplies the value, not null
     */
    public void gauge(Name name, LongSupplier value) {
        registry.register(name.exportedName(), (Gauge<Long>) value::getAsLong);
    }

    /**
     * Sets the value of a gauge, which stays until it is set again.
     *
     * @param name the metric, not null
     * @param value the value
     */
    public void set(Name name, long value) {
        SettableGauge<Long> gauge = registry.gauge(name.exportedName(), DefaultSettableGauge::new);
        gauge.setValue(value);
    }

    /**
     * Registers a gauge of a series, unless it is registered already.
     *
     * @param name the metric, not null
     * @param value supplies the value, not null
     * @param labelValues the label values of the series, not null
     */
    public void gaugeIfAbsent(Name name, LongSupplier value, Object... labelValues) {
        registry.gauge(seriesName(name, labelValues), () -> (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns the registry that holds the metrics, for their export.
     *
     * @return the registry, never null
     */
    public MetricRegistry registry() {
        return registry;
    }

    private static String seriesName(Name name, Object... labelValues) {
        StringBuilder text = new StringBuilder(name.exportedName());
        for (Object labelValue : labelValues) {
            text.append('_').append(String.valueOf(labelValue).toLowerCase(Locale.ROOT));
        }
        return text.toString();
    }
}
