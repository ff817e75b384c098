package io.cardamomshelf.node.metric;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.ExpiredException;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.StoredRecord;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * Forwards calls to a store, and counts them by kind, stream and outcome.
 *
 * <p>Thread-safe if the store is.
 */
public final class MeteredStore implements KeyedStore {

    private final KeyedStore store;
    private final ServiceMetrics metrics;
    private final Clock clock;

    /**
     * Creates a store whose calls are counted.
     *
     * @param store the store to forward to, not null
     * @param metrics the metrics to update, not null
     * @param clock the clock, not null
     */
    public MeteredStore(KeyedStore store, ServiceMetrics metrics, Clock clock) {
        this.store = store;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public Limits limits() {
        return store.limits();
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        long startMillis = clock.monotonicMillis();
        String writerLabel = writer.isPresent() ? "scheduler" : "caller";
        return store.append(records, writer, timeoutMillis)
                .invoke(
                        outcome -> {
                            // The class names of outcomes are label values of an exported metric.
                            String outcomeLabel = outcome.getClass().getSimpleName();
                            metrics.count(Name.STORE_CALLS, "append", writerLabel, outcomeLabel);
                            long tookMillis = clock.monotonicMillis() - startMillis;
                            metrics.recordDuration(Name.APPEND_MILLIS, tookMillis, writerLabel);
                        });
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        return countOutcome("read", stream, store.read(stream, from, waitMillis));
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        return countOutcome("newest", stream, store.newest(stream, after));
    }

    private <T> Uni<T> countOutcome(String kind, Stream stream, Uni<T> call) {
        return call.onItem()
                .invoke(item -> metrics.count(Name.STORE_CALLS, kind, stream, "ok"))
                .onFailure()
                .invoke(
                        failure ->
                                metrics.count(
                                        Name.STORE_CALLS,
                                        kind,
                                        stream,
                                        failure instanceof ExpiredException
                                                ? "expired"
                                                : "failed"));
    }
}
