package io.cardamomshelf.standin.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A keyed topic in memory: its records, its first readable offset and its producers' state. */
final class Topic {

    /** How many of a producer's last appends get their first answer again if repeated. */
    private static final int REPEATS_KEPT = 5;

    /** A stored record; an empty value drops the key. */
    record Entry(String key, byte[] value, long offset, long storedMillis) {}

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
        private final Map<Long, Long> offsets = new LinkedHashMap<>();
    }

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Producer> producers = new LinkedHashMap<>();
    private final Map<String, Entry> newest = new LinkedHashMap<>();
    private long firstOffset;

    long append(String key, byte[] value) {
        Entry entry = new Entry(key, value, endOffset(), System.currentTimeMillis());
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

    /** Expires the records stored before a time; the newest record of each key stays readable. */
    void expireBefore(long millis) {
        while (firstOffset < endOffset()
                && entries.get((int) firstOffset).storedMillis() < millis) {
            firstOffset++;
        }
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
            producer.offsets.clear();
            return SequenceCheck.FRESH;
        }
        if (producer.offsets.containsKey(sequence)) {
            return SequenceCheck.REPEATED;
        }
        if (sequence != producer.sequence + 1) {
            return SequenceCheck.WRONG_SEQUENCE;
        }
        producer.sequence = sequence;
        return SequenceCheck.FRESH;
    }

    /** Keeps the first answer to an append, for its repeats. */
    void rememberOffset(String name, long sequence, long offset) {
        Map<Long, Long> offsets = producers.get(name).offsets;
        offsets.put(sequence, offset);
        if (offsets.size() > REPEATS_KEPT) {
            offsets.remove(offsets.keySet().iterator().next());
        }
    }

    /** Returns the offset of an append that {@code checkSequence} reported as repeated. */
    long offsetOf(String name, long sequence) {
        return producers.get(name).offsets.get(sequence);
    }
}
