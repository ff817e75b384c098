package io.cardamomshelf.standin.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One keyed topic in memory: its records, what has expired, and its producers' marks. */
final class Topic {

    /** A record; an empty value drops the key. */
    record Entry(String key, byte[] value, long offset) {}

    /** What an append with a producer's mark leads to. */
    enum Mark {
        FRESH,
        REPEAT,
        FENCED,
        WRONG_SEQUENCE
    }

    private static final class Producer {
        private long epoch = -1;
        private long sequence;
        private long lastOffset;
    }

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Producer> producers = new LinkedHashMap<>();
    private final Map<String, Entry> newest = new LinkedHashMap<>();
    private long first;

    long append(String key, byte[] value) {
        Entry entry = new Entry(key, value, end());
        entries.add(entry);
        newest.remove(key);
        if (value.length > 0) {
            newest.put(key, entry);
        }
        return entry.offset();
    }

    long end() {
        return entries.size();
    }

    long first() {
        return first;
    }

    /** Drops the history; the newest record of each key stays readable. */
    void expire() {
        first = end();
    }

    List<Entry> from(long offset) {
        int start = (int) Math.min(offset, end());
        return List.copyOf(entries.subList(start, entries.size()));
    }

    List<Entry> newest() {
        return List.copyOf(newest.values());
    }

    Mark mark(String name, long epoch, long sequence) {
        Producer producer = producers.computeIfAbsent(name, any -> new Producer());
        if (epoch < producer.epoch) {
            return Mark.FENCED;
        }
        if (epoch > producer.epoch) {
            producer.epoch = epoch;
            producer.sequence = sequence;
            return Mark.FRESH;
        }
        if (sequence == producer.sequence) {
            return Mark.REPEAT;
        }
        if (sequence != producer.sequence + 1) {
            return Mark.WRONG_SEQUENCE;
        }
        producer.sequence = sequence;
        return Mark.FRESH;
    }

    void noteOffset(String name, long offset) {
        Optional.ofNullable(producers.get(name)).ifPresent(p -> p.lastOffset = offset);
    }

    long lastOffset(String name) {
        return producers.get(name).lastOffset;
    }
}
