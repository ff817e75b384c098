package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.port.WorkerOrders;
import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** One process's paths to a shared store and shared workers, each of which may be cut alone. */
final class NodeLinks implements KeyedStore, WorkerOrders {

    private final VirtualTime time;
    private final KeyedStore store;
    private final WorkerOrders workers;
    private final Set<WorkerId> cutWorkers = new HashSet<>();
    private boolean storeCut;

    NodeLinks(VirtualTime time, KeyedStore store, WorkerOrders workers) {
        this.time = time;
        this.store = store;
        this.workers = workers;
    }

    void cutStore() {
        storeCut = true;
    }

    /** Leaves the process without any path, as if it were dead. */
    void cutAll(String... names) {
        cutStore();
        List.of(names).forEach(this::cutWorker);
    }

    void cutWorker(String name) {
        cutWorkers.add(WorkerId.of(name));
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        return storeCut
                ? silence(timeoutMillis, new AppendOutcome.Unknown("cut"))
                : store.append(records, writer, timeoutMillis);
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        return storeCut ? failure(waitMillis) : store.read(stream, from, waitMillis);
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        return storeCut ? failure(1_000) : store.newest(stream, after);
    }

    @Override
    public Uni<Reply> start(
            Target target, Order.Start start, long leaseEnd, long token, long timeoutMillis) {
        return cutWorkers.contains(target.id())
                ? silence(timeoutMillis, noReply())
                : workers.start(target, start, leaseEnd, token, timeoutMillis);
    }

    @Override
    public Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis) {
        return cutWorkers.contains(target.id())
                ? silence(timeoutMillis, noReply())
                : workers.stop(target, stop, token, timeoutMillis);
    }

    @Override
    public Uni<Holding> hold(
            Target target,
            OptionalLong leaseEnd,
            long lastSeen,
            long waitMillis,
            long token,
            long timeoutMillis) {
        return cutWorkers.contains(target.id())
                ? silence(
                        timeoutMillis,
                        new Holding(Answer.UNKNOWN, OptionalLong.empty(), null, false, "cut"))
                : workers.hold(target, leaseEnd, lastSeen, waitMillis, token, timeoutMillis);
    }

    private static Reply noReply() {
        return new Reply(Answer.UNKNOWN, OptionalLong.empty(), "cut");
    }

    private <T> Uni<T> failure(long millis) {
        return this.<T>pause(millis).onItem().failWith(() -> new StoreException("cut"));
    }

    private <T> Uni<T> silence(long millis, T answer) {
        return this.<T>pause(millis).map(none -> answer);
    }

    private <T> Uni<T> pause(long millis) {
        return Uni.createFrom()
                .emitter(emitter -> time.after(millis, () -> emitter.complete(null)));
    }
}
