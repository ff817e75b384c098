package io.cardamomshelf.node;

import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.ExpiredException;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/** A store in memory that may refuse calls, lose answers, append late or drop its history. */
public final class FakeStore implements KeyedStore {

    private static final long CALL_MILLIS = 4;

    /** How many of the last appends of a writer get their first answer again if repeated. */
    private static final int REPEATS_KEPT = 5;

    /** The fault that is in effect. */
    public enum Fault {
        /** Every call succeeds. */
        NONE,
        /** Appends are refused and reads fail. */
        REFUSING,
        /** Appends are neither carried out nor answered, and reads fail. */
        UNRESPONSIVE,
        /** Appends are carried out, but not answered. */
        LOSING_ANSWERS,
        /** Appends are carried out after {@code lateAppendMillis}, and not answered. */
        DELAYED
    }

    private final VirtualTime time;
    private final Map<Stream, List<StoredRecord>> streams = new EnumMap<>(Stream.class);
    private final Map<Stream, Long> firstOffsets = new EnumMap<>(Stream.class);
    private long epoch;
    private long sequence = -1;

    /** The offsets of the last appends with a writer, by sequence number, oldest first. */
    private final Map<Long, Long> repeatableOffsets = new LinkedHashMap<>();

    public Fault fault = Fault.NONE;
    public long lateAppendMillis = 2_000;
    public long appendMillis = CALL_MILLIS;
    public int appends;
    public Limits limits = new Limits(262_144, 2_097_152);

    /** The share of the requested wait for which a read at the end of a stream waits. */
    public double waitShare = 0.1;

    /** The records in a page of the newest ones; pages are read at different times. */
    public int pageSize = Integer.MAX_VALUE;

    /** Whether the next read never ends. */
    public boolean hangsNextRead;

    /** The time that a read takes beyond its wait, in milliseconds. */
    public long readMillis = CALL_MILLIS;

    public FakeStore(VirtualTime time) {
        this.time = time;
        for (Stream stream : Stream.values()) {
            streams.put(stream, new ArrayList<>());
            firstOffsets.put(stream, 0L);
        }
    }

    public void write(Stream stream, StoredRecord record) {
        List<StoredRecord> records = streams.get(stream);
        records.add(new StoredRecord(record.key(), record.value(), records.size()));
    }

    public List<StoredRecord> records(Stream stream) {
        return List.copyOf(streams.get(stream));
    }

    public void dropHistory(Stream stream) {
        firstOffsets.put(stream, (long) streams.get(stream).size());
    }

    @Override
    public Limits limits() {
        return limits;
    }

    private boolean exceedsLimits(List<StoredRecord> records) {
        int totalBytes = records.stream().mapToInt(StoredRecord::sizeBytes).sum();
        return totalBytes > limits.appendBytes()
                || records.stream().anyMatch(record -> record.sizeBytes() > limits.recordBytes());
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        appends++;
        if (exceedsLimits(records)) {
            return completeAfter(CALL_MILLIS, () -> new AppendOutcome.Refused("400"));
        }
        Fault currentFault = fault;
        return switch (currentFault) {
            case REFUSING -> completeAfter(CALL_MILLIS, () -> new AppendOutcome.Refused("503"));
            case UNRESPONSIVE ->
                    completeAfter(timeoutMillis, () -> new AppendOutcome.Unknown("no answer"));
            case LOSING_ANSWERS -> {
                store(records, writer);
                yield completeAfter(timeoutMillis, () -> new AppendOutcome.Unknown("answer lost"));
            }
            case DELAYED -> {
                time.after(lateAppendMillis, () -> store(records, writer));
                yield completeAfter(
                        timeoutMillis, () -> new AppendOutcome.Unknown("no answer in time"));
            }
            default -> completeAfter(appendMillis, () -> store(records, writer));
        };
    }

    private AppendOutcome store(List<StoredRecord> records, Optional<Writer> writer) {
        if (writer.isPresent()) {
            Writer identity = writer.get();
            boolean isRepeat =
                    identity.epoch() == epoch && repeatableOffsets.containsKey(identity.sequence());
            if (isRepeat) {
                return new AppendOutcome.Stored(repeatableOffsets.get(identity.sequence()));
            }
            boolean isNext = identity.epoch() == epoch && identity.sequence() == sequence + 1;
            if (identity.epoch() < epoch || identity.epoch() == epoch && !isNext) {
                return new AppendOutcome.Deposed();
            }
            if (identity.epoch() > epoch) {
                repeatableOffsets.clear();
            }
            epoch = identity.epoch();
            sequence = identity.sequence();
            repeatableOffsets.put(sequence, (long) streams.get(Stream.JOBS).size());
            if (repeatableOffsets.size() > REPEATS_KEPT) {
                repeatableOffsets.remove(repeatableOffsets.keySet().iterator().next());
            }
        }
        long offset = streams.get(Stream.JOBS).size();
        records.forEach(record -> write(Stream.JOBS, record));
        return new AppendOutcome.Stored(offset);
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        if (hangsNextRead) {
            hangsNextRead = false;
            return Uni.createFrom().nothing();
        }
        if (fault == Fault.UNRESPONSIVE || fault == Fault.REFUSING) {
            return failAfter(waitMillis);
        }
        if (from < firstOffsets.get(stream)) {
            return Uni.createFrom().failure(new ExpiredException(from));
        }
        boolean atEnd = streams.get(stream).size() <= from;
        return completeAfter(
                readMillis + (atEnd ? (long) (waitShare * waitMillis) : 0),
                () -> tail(stream, from));
    }

    private Tail tail(Stream stream, long from) {
        List<StoredRecord> records = streams.get(stream);
        int start = (int) Math.min(from, records.size());
        return new Tail(List.copyOf(records.subList(start, records.size())), records.size());
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        if (fault == Fault.UNRESPONSIVE || fault == Fault.REFUSING) {
            return failAfter(CALL_MILLIS);
        }
        return completeAfter(CALL_MILLIS, () -> page(stream, after));
    }

    private NewestPage page(Stream stream, String after) {
        TreeMap<String, StoredRecord> newest = new TreeMap<>();
        streams.get(stream).forEach(record -> newest.put(record.key(), record));
        newest.values().removeIf(StoredRecord::isTombstone);
        List<StoredRecord> rest = List.copyOf(newest.tailMap(after, false).values());
        return new NewestPage(
                rest.subList(0, Math.min(pageSize, rest.size())),
                rest.size() <= pageSize,
                streams.get(stream).size());
    }

    private <T> Uni<T> failAfter(long millis) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.after(
                                        millis,
                                        () ->
                                                emitter.fail(
                                                        new StoreException("store unreachable"))));
    }

    private <T> Uni<T> completeAfter(long millis, Supplier<T> result) {
        return Uni.createFrom()
                .emitter(emitter -> time.after(millis, () -> emitter.complete(result.get())));
    }
}
