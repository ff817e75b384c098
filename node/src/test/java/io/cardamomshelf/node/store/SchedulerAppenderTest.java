package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests records that are queued while none can be stored. */
class SchedulerAppenderTest {

    private static final int RECORD_BYTES = 100;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final SchedulerAppender appender = new SchedulerAppender(time, store, 1, 0, () -> {});
    private final List<String> events = new ArrayList<>();

    private void append(String... keys) {
        List<StoredRecord> records = new ArrayList<>();
        for (String key : keys) {
            records.add(StoredRecord.of(key, new byte[RECORD_BYTES - key.length()]));
        }
        appender.append(records, () -> events.add("after " + keys[keys.length - 1]));
    }

    private List<String> storedKeys() {
        return store.records(Stream.JOBS).stream().map(StoredRecord::key).toList();
    }

    /** Guards against an append that is longer than the store takes, and so is refused for ever. */
    @Nested
    class MoreThanTheStoreTakesAtOnce {

        @Test
        void isStoredInSeveralAppendsAndInOrder() {
            store.limits = new KeyedStore.Limits(RECORD_BYTES, 3 * RECORD_BYTES);
            store.fault = Fault.REFUSING;
            append("a");
            append("b", "c");
            append("d", "e", "f", "g");
            time.advance(500);
            assertEquals(List.of(), events);
            store.fault = Fault.NONE;
            time.advance(500);
            assertEquals(List.of("a", "b", "c", "d", "e", "f", "g"), storedKeys());
            assertEquals(List.of("after a", "after c", "after g"), events);
        }
    }
}
