package io.cardamomshelf.standin.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A keyed topic in memory: its records, its first readable offset and its producers' state. */
final class Topic {

    /** A stored record; an empty value drops the key. */
    record Entry(String key, byte[] value, long offset) {}

    /** The result of checking a producer's epoch and sequence number before an append. */
    enum SequenceCheck {
        FRESH,
        REPEATED,
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
    private long firstOffset;

    long append(String key, byte[] value) {
        Entry entry = new Entry(key, value, endOffset());
        entries.add(entry);
        newest.remove(key);
        if (value.length > 0) {
            newest.put(key, entry);
        }
        return entry.offset();
    }

    long endOffset() {
        return entries.size();
    }

    long firstOffset() {
        return firstOffset;
    }

    /** Expires all records; the newest record of each key stays readable. */
    void expire() {
        firstOffset = endOffset();
    }

    List<Entry> entriesFrom(long offset) {
        int start = (int) Math.min(offset, endOffset());
        return List.copyOf(entries.subList(start, entries.size()));
    }

    List<Entry> newest() {
        return List.copyOf(newest.values());
    }

    /** Checks an append's epoch and sequence number and, if the append is fresh, records them. */
    SequenceCheck checkSequence(String name, long epoch, long sequence) {
        Producer producer = producers.computeIfAbsent(name, key -> new Producer());
        if (epoch < producer.epoch) {
            return SequenceCheck.FENCED;
        }
        if (epoch > producer.epoch) {
            producer.epoch = epoch;
            producer.sequence = sequence;
            return SequenceCheck.FRESH;
        }
        if (sequence == producer.sequence) {
            return SequenceCheck.REPEATED;
        }
        if (sequence != producer.sequence + 1) {
            return SequenceCheck.WRONG_SEQUENCE;
        }
        producer.sequence = sequence;
        return SequenceCheck.FRESH;
    }

    void setLastOffset(String name, long offset) {
        Optional.ofNullable(producers.get(name))
                .ifPresent(producer -> producer.lastOffset = offset);
    }

    long lastOffset(String name) {
        return producers.get(name).lastOffset;
    }
}
