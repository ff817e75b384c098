package io.cardamomshelf.node.metric;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The service's counters and latency histograms.
 *
 * <p>Use: {@code metrics.count("calls", "status", 503)}; names and label values come from fixed
 * sets, so that their number is bounded. {@code docs/METRICS.md} lists them and is checked against
 * {@link Name}.
 *
 * <p>Thread-safe.
 */
public final class ServiceMetrics {

    /** The metrics; each is followed by the values that tell its series apart. */
    public enum Name {
        /** Calls by HTTP status. */
        CALLS("Calls of callers, by HTTP status."),
        /** How long calls took. */
        CALL_MILLIS("How long calls of callers took, in milliseconds, by method."),
        /** Reads and appends of the store. */
        STORE_CALLS("Calls to the store, by kind, stream and outcome."),
        /** How long appends took. */
        APPEND_MILLIS("How long appends took, in milliseconds, by writer."),
        /** Orders to workers. */
        ORDERS("Calls to workers, by kind and answer."),
        /** How long a job waited for its first start. */
        FIRST_START_MILLIS(
                "From the acceptance of a job to its first start, in milliseconds, by priority."),
        /** How long jobs took. */
        JOB_MILLIS("From the acceptance of a job to its stored end, by priority and state."),
        /** Stopped runs. */
        STOPS("Runs that the scheduler ordered to stop, by reason and priority."),
        /** Ended runs. */
        RUN_ENDS("Ends that workers listed, by how the run ended."),
        /** Elections. */
        ELECTIONS("Elections that this process stood in, by outcome."),
        /** Age of the configuration's proof. */
        CONFIGURATION_AGE_MILLIS("Age of the proof that the configuration is current."),
        /** Age of the jobs' proof. */
        JOBS_AGE_MILLIS("Age of the proof that the jobs are current."),
        /** Whether this process schedules. */
        LEADING("1 while this process is the scheduler, else 0."),
        /** Accelerators without a run. */
        FREE_ACCELERATORS("Accelerators without a run, at the scheduler, else 0."),
        /** Accelerators kept back. */
        HELD_ACCELERATORS(
                "Free accelerators kept back for waiting work, at the scheduler, else 0."),
        /** Calls under way. */
        IN_FLIGHT("Calls of callers that aren't answered yet.");

        private final String meaning;

        Name(String meaning) {
            this.meaning = meaning;
        }

        /**
         * Returns what the metric says, in one sentence.
         *
         * @return the sentence, never null
         */
        public String meaning() {
            return meaning;
        }

        /**
         * Returns the metric's name as it is served.
         *
         * @return the name, never null
         */
        public String text() {
            return "cardamomshelf_" + name().toLowerCase(Locale.ROOT);
        }
    }

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Counts one.
     *
     * @param name the metric, not null
     * @param values what tells the series apart, not null
     */
    public void count(Name name, Object... values) {
        registry.counter(series(name, values)).inc();
    }

    /**
     * Takes a duration.
     *
     * @param name the metric, not null
     * @param millis the duration, in milliseconds
     * @param values what tells the series apart, not null
     */
    public void recordDuration(Name name, long millis, Object... values) {
        registry.timer(series(name, values)).update(Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Serves a value that is asked for at each reading.
     *
     * @param name the metric, not null
     * @param value gives the value, not null
     */
    public void gauge(Name name, LongSupplier value) {
        registry.register(name.text(), (Gauge<Long>) value::getAsLong);
    }

    MetricRegistry registry() {
        return registry;
    }

    private static String series(Name name, Object... values) {
        StringBuilder text = new StringBuilder(name.text());
        for (Object value : values) {
            text.append('_').append(String.valueOf(value).toLowerCase(Locale.ROOT));
        }
        return text.toString();
    }
}
