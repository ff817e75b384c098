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

/** One process's connections to a shared store and shared workers; each can be disconnected. */
final class NodeLinks implements KeyedStore, WorkerOrders {

    private final VirtualTime time;
    private final ProcessTime processTime;
    private final KeyedStore store;
    private final WorkerOrders workers;
    private final Set<WorkerId> disconnectedWorkers = new HashSet<>();
    private boolean storeDisconnected;
    private boolean readsHang;

    NodeLinks(VirtualTime time, ProcessTime processTime, KeyedStore store, WorkerOrders workers) {
        this.time = time;
        this.processTime = processTime;
        this.store = store;
        this.workers = workers;
    }

    void disconnectStore() {
        storeDisconnected = true;
    }

    /** From now on no read of the store ends; appends go on. */
    void hangReads() {
        readsHang = true;
    }

    void reconnectAll() {
        storeDisconnected = false;
        disconnectedWorkers.clear();
    }

    /** Disconnects the store and the workers, as if the process had died. */
    void disconnectAll(String... workerNames) {
        disconnectStore();
        List.of(workerNames).forEach(this::disconnectWorker);
    }

    void disconnectWorker(String name) {
        disconnectedWorkers.add(WorkerId.of(name));
    }

    @Override
    public Limits limits() {
        return store.limits();
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        return processTime.deliver(
                storeDisconnected
                        ? answerAfter(timeoutMillis, new AppendOutcome.Unknown("disconnected"))
                        : store.append(records, writer, timeoutMillis));
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        if (readsHang) {
            return Uni.createFrom().nothing();
        }
        return processTime.deliver(
                storeDisconnected ? failAfter(waitMillis) : store.read(stream, from, waitMillis));
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        return processTime.deliver(
                storeDisconnected ? failAfter(1_000) : store.newest(stream, after));
    }

    @Override
    public Uni<Reply> start(
            Target target, Order.Start start, long leaseEndMillis, long token, long timeoutMillis) {
        return processTime.deliver(
                disconnectedWorkers.contains(target.id())
                        ? answerAfter(timeoutMillis, noReply())
                        : workers.start(target, start, leaseEndMillis, token, timeoutMillis));
    }

    @Override
    public Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis) {
        return processTime.deliver(
                disconnectedWorkers.contains(target.id())
                        ? answerAfter(timeoutMillis, noReply())
                        : workers.stop(target, stop, token, timeoutMillis));
    }

    @Override
    public Uni<RenewalReply> renewLease(
            Target target,
            OptionalLong leaseEndMillis,
            Optional<Acknowledgement> acknowledgement,
            long waitMillis,
            long token,
            long timeoutMillis) {
        return processTime.deliver(
                disconnectedWorkers.contains(target.id())
                        ? answerAfter(
                                timeoutMillis,
                                RenewalReply.withoutLists(
                                        Answer.UNKNOWN, OptionalLong.empty(), "disconnected"))
                        : workers.renewLease(
                                target,
                                leaseEndMillis,
                                acknowledgement,
                                waitMillis,
                                token,
                                timeoutMillis));
    }

    private static Reply noReply() {
        return new Reply(Answer.UNKNOWN, OptionalLong.empty(), "disconnected");
    }

    private <T> Uni<T> failAfter(long millis) {
        return this.<T>delay(millis).onItem().failWith(() -> new StoreException("disconnected"));
    }

    private <T> Uni<T> answerAfter(long millis, T answer) {
        return this.<T>delay(millis).map(ignored -> answer);
    }

    private <T> Uni<T> delay(long millis) {
        return Uni.createFrom()
                .emitter(emitter -> time.after(millis, () -> emitter.complete(null)));
    }
}
