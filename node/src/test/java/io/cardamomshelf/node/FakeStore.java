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
import java.util.function.Supplier;

/** A store in memory that may be down, lose answers, carry appends out late or drop history. */
public final class FakeStore implements KeyedStore {

    private static final long DELAY_MILLIS = 4;

    /** What goes wrong. */
    public enum Trouble {
        NONE,
        REFUSING,
        SILENT,
        LOSING_ANSWERS,
        LATE
    }

    private final VirtualTime time;
    private final Map<Stream, List<StoredRecord>> streams = new EnumMap<>(Stream.class);
    private final Map<Stream, Long> firsts = new EnumMap<>(Stream.class);
    private long epoch;
    private long sequence = -1;
    private long lastOffset;
    public Trouble trouble = Trouble.NONE;
    public long lateMillis = 2_000;
    public long appendMillis = DELAY_MILLIS;
    public int appends;

    public FakeStore(VirtualTime time) {
        this.time = time;
        for (Stream stream : Stream.values()) {
            streams.put(stream, new ArrayList<>());
            firsts.put(stream, 0L);
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
        firsts.put(stream, (long) streams.get(stream).size());
    }

    @Override
    public Uni<AppendOutcome> append(
            List<StoredRecord> records, Optional<Writer> writer, long timeoutMillis) {
        appends++;
        Trouble now = trouble;
        return switch (now) {
            case REFUSING -> later(DELAY_MILLIS, () -> new AppendOutcome.Refused("503"));
            case SILENT -> later(timeoutMillis, () -> new AppendOutcome.Unknown("silent"));
            case LOSING_ANSWERS -> {
                store(records, writer);
                yield later(timeoutMillis, () -> new AppendOutcome.Unknown("lost"));
            }
            case LATE -> {
                time.after(lateMillis, () -> store(records, writer));
                yield later(timeoutMillis, () -> new AppendOutcome.Unknown("late"));
            }
            default -> later(appendMillis, () -> store(records, writer));
        };
    }

    private AppendOutcome store(List<StoredRecord> records, Optional<Writer> writer) {
        if (writer.isPresent()) {
            Writer mark = writer.get();
            boolean repeat = mark.epoch() == epoch && mark.sequence() == sequence;
            if (repeat) {
                return new AppendOutcome.Stored(lastOffset);
            }
            boolean next = mark.epoch() == epoch && mark.sequence() == sequence + 1;
            if (mark.epoch() < epoch || mark.epoch() == epoch && !next) {
                return new AppendOutcome.Deposed();
            }
            epoch = mark.epoch();
            sequence = mark.sequence();
            lastOffset = streams.get(Stream.JOBS).size();
        }
        long offset = streams.get(Stream.JOBS).size();
        records.forEach(record -> write(Stream.JOBS, record));
        return new AppendOutcome.Stored(offset);
    }

    @Override
    public Uni<Tail> read(Stream stream, long from, long waitMillis) {
        if (trouble == Trouble.SILENT || trouble == Trouble.REFUSING) {
            return failing(waitMillis);
        }
        if (from < firsts.get(stream)) {
            return Uni.createFrom().failure(new ExpiredException(from));
        }
        boolean waiting = streams.get(stream).size() <= from;
        return later(
                waiting ? Math.max(DELAY_MILLIS, waitMillis / 10) : DELAY_MILLIS,
                () -> tail(stream, from));
    }

    private Tail tail(Stream stream, long from) {
        List<StoredRecord> all = streams.get(stream);
        int start = (int) Math.min(from, all.size());
        return new Tail(List.copyOf(all.subList(start, all.size())), all.size());
    }

    @Override
    public Uni<NewestPage> newest(Stream stream, String after) {
        if (trouble == Trouble.SILENT || trouble == Trouble.REFUSING) {
            return failing(DELAY_MILLIS);
        }
        Map<String, StoredRecord> newest = new LinkedHashMap<>();
        streams.get(stream).forEach(record -> newest.put(record.key(), record));
        newest.values().removeIf(StoredRecord::isDrop);
        long end = streams.get(stream).size();
        return later(DELAY_MILLIS, () -> new NewestPage(List.copyOf(newest.values()), true, end));
    }

    private <T> Uni<T> failing(long millis) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.after(millis, () -> emitter.fail(new StoreException("away"))));
    }

    private <T> Uni<T> later(long millis, Supplier<T> result) {
        return Uni.createFrom()
                .emitter(emitter -> time.after(millis, () -> emitter.complete(result.get())));
    }
}
