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

/** Counts the calls to a store by kind, stream and outcome. */
public final class MeteredStore implements KeyedStore {

    private final KeyedStore store;
    private final ServiceMetrics metrics;
    private final Clock clock;

    /**
     * Creates a store that counts.
     *
     * @param store the store that is called, not null
     * @param metrics where to count, not null
     * @param clock the time, not null
     */
    public MeteredStore(KeyedStore store, ServiceMetrics metrics, Clock clock) {
        this.store = store;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        long startMillis = clock.monotonicMillis();
        String by = writer.isPresent() ? "scheduler" : "caller";
        return store.append(records, writer, timeoutMillis)
                .invoke(
                        outcome -> {
                            String how = outcome.getClass().getSimpleName();
                            metrics.count(Name.STORE_CALLS, "append", by, how);
                            long took = clock.monotonicMillis() - startMillis;
                            metrics.recordDuration(Name.APPEND_MILLIS, took, by);
                        });
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        return counted("read", stream, store.read(stream, from, waitMillis));
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        return counted("newest", stream, store.newest(stream, after));
    }

    private <T> Uni<T> counted(String kind, Stream stream, Uni<T> call) {
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
