package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;

/**
 * The state of one upstream in an entry instance: its location, concurrency limit and circuit
 * breaker.
 *
 * <p>Use: owned and updated by {@link UpstreamChooser}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Upstream {

    private static final int MAX_FAILURES = 3;
    private static final long PAUSE_MILLIS = 2_000;

    private final WorkerId worker;
    private final DataCentreId dataCentre;
    private final String region;
    private final ConcurrencyLimit limit;
    private final Breaker breaker = new Breaker(MAX_FAILURES, PAUSE_MILLIS);
    private boolean draining;

    Upstream(WorkerId worker, DataCentreId dataCentre, String region, int maxInFlight) {
        this.worker = worker;
        this.dataCentre = dataCentre;
        this.region = region;
        this.limit = new ConcurrencyLimit(maxInFlight);
    }

    /**
     * Returns the worker that serves the upstream.
     *
     * @return the worker, never null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the data centre of the upstream.
     *
     * @return the data centre, never null
     */
    public DataCentreId dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the upstream's circuit breaker.
     *
     * @return the breaker, never null
     */
    public Breaker breaker() {
        return breaker;
    }

    /**
     * Returns the limit on requests in flight at the upstream.
     *
     * @return the limit, never null
     */
    public ConcurrencyLimit limit() {
        return limit;
    }

    String region() {
        return region;
    }

    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean draining) {
        this.draining = draining;
    }
}
