import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: partition 0 of each topic, in memory. */
final class Store3 {

    private static final int PAGE = 500;
    private static final int APPEND_MILLIS = 4;

    /** Decides what happens to an append that was sent now. */
    interface AppendFault {
        /** Returns -1 to answer as usual, else after how long it is done, without an answer. */
        long lateMillis(String topic, boolean hasProducer, String firstKey);
    }

    private record Item(String key, byte[] raw, byte[] value, long offset) {}

    private static final class Topic {
        final List<Item> items = new ArrayList<>();
        final TreeMap<String, Item> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Producer {
        long epoch = Long.MIN_VALUE;
        long sequence = -1;
        final Deque<Map.Entry<Long, String>> last = new ArrayDeque<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Record3 record;
    private volatile AppendFault appendFault = (topic, hasProducer, key) -> -1;

    Store3(Record3 record) {
        this.record = record;
    }

    int start() throws IOException {
        return Http3.serve(this::handle);
    }

    void setAppendFault(AppendFault fault) {
        appendFault = fault;
    }

    /** Writes a record as the operator or a worker. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer raw = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        raw.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        add(topic(topic), raw.array());
        notifyAll();
    }

    /** Returns the keys with a value in a topic. */
    synchronized List<String> keys(String topic) {
        return List.copyOf(topic(topic).newest.keySet());
    }

    /** Returns the offset after a topic's last record. */
    synchronized long end(String topic) {
        return topic(topic).items.size();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private Http3.Response handle(Http3.Request request) throws Exception {
        String topic = request.parameter("topic", "");
        return switch (request.path()) {
            case "/log-append" -> append(topic, request);
            case "/log-read" -> read(topic, request);
            case "/log-newest" -> newest(topic, request);
            default -> Http3.Response.of(404, "{}");
        };
    }

    private Http3.Response append(String name, Http3.Request request) throws Exception {
        Thread.sleep(APPEND_MILLIS);
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            return Http3.Response.of(403, "{}");
        }
        List<byte[]> records = split(request.body());
        String firstKey = records.isEmpty() ? "" : key(records.get(0));
        boolean hasProducer = request.query().containsKey("producer");
        long lateMillis = appendFault.lateMillis(name, hasProducer, firstKey);
        if (lateMillis < 0) {
            return appendNow(name, request, records);
        }
        record.line("store: append of " + firstKey + " gets no answer, and is done in " + lateMillis + " ms");
        Http3.daemon(
                () -> {
                    Thread.sleep(lateMillis);
                    Http3.Response done = appendNow(name, request, records);
                    record.line("store: late append of " + firstKey + " is done: " + done.text());
                });
        return null;
    }

    private synchronized Http3.Response appendNow(String name, Http3.Request request, List<byte[]> records) {
        Topic topic = topic(name);
        String producerName = request.parameter("producer", "");
        Producer producer = null;
        long sequence = 0;
        if (!producerName.isEmpty()) {
            producer = topic.producers.computeIfAbsent(producerName, n -> new Producer());
            long epoch = Long.parseLong(request.parameter("epoch", "0"));
            sequence = Long.parseLong(request.parameter("sequence", "0"));
            if (epoch < producer.epoch) {
                return Http3.Response.of(409, "{\"reason\":\"fenced\"}");
            }
            if (epoch > producer.epoch) {
                producer.epoch = epoch;
                producer.last.clear();
            } else {
                for (Map.Entry<Long, String> earlier : producer.last) {
                    if (earlier.getKey() == sequence) {
                        return Http3.Response.of(200, earlier.getValue());
                    }
                }
                if (sequence != producer.sequence + 1) {
                    return Http3.Response.of(409, "{\"reason\":\"seq\",\"sequence\":" + (producer.sequence + 1) + "}");
                }
            }
        }
        long offset = topic.items.size();
        records.forEach(raw -> add(topic, raw));
        String answer = "{\"offset\":" + offset + ",\"end\":" + topic.items.size() + "}";
        if (producer != null) {
            producer.sequence = sequence;
            producer.last.addLast(Map.entry(sequence, answer));
            if (producer.last.size() > 5) {
                producer.last.removeFirst();
            }
        }
        notifyAll();
        return Http3.Response.of(200, answer);
    }

    private static List<byte[]> split(byte[] body) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= 4) {
            byte[] raw = new byte[in.getInt()];
            in.get(raw);
            records.add(raw);
        }
        return records;
    }

    private static String key(byte[] raw) {
        return new String(raw, 1, raw[0] & 0xff, StandardCharsets.UTF_8);
    }

    private static void add(Topic topic, byte[] raw) {
        int keyLength = raw[0] & 0xff;
        byte[] value = java.util.Arrays.copyOfRange(raw, 1 + keyLength, raw.length);
        Item item = new Item(key(raw), raw, value, topic.items.size());
        topic.items.add(item);
        if (value.length == 0) {
            topic.newest.remove(item.key());
        } else {
            topic.newest.put(item.key(), item);
        }
    }

    private Http3.Response read(String name, Http3.Request request) throws Exception {
        long from = Long.parseLong(request.parameter("from", "0"));
        long waitMillis = Long.parseLong(request.parameter("wait_ms", "0"));
        long maxBytes = 1024 * Long.parseLong(request.parameter("max_kb", "1024"));
        Thread.sleep(APPEND_MILLIS);
        long until = System.nanoTime() + waitMillis * 1_000_000;
        synchronized (this) {
            Topic topic = topic(name);
            while (topic.items.size() <= from) {
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (leftMillis <= 0) {
                    break;
                }
                wait(leftMillis);
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.items.size());
            out.writeLong(0);
            for (long i = from; i < topic.items.size() && bytes.size() < maxBytes; i++) {
                byte[] raw = topic.items.get((int) i).raw();
                out.writeInt(raw.length);
                out.write(raw);
            }
            return new Http3.Response(200, bytes.toByteArray());
        }
    }

    private synchronized Http3.Response newest(String name, Http3.Request request) {
        Topic topic = topic(name);
        String after = request.parameter("after", "");
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Item item : after.isEmpty() ? topic.newest.values() : topic.newest.tailMap(after, false).values()) {
            if (items.size() == PAGE) {
                more = true;
                break;
            }
            items.add(
                    Json3.map(
                            "key", item.key(),
                            "value", Base64.getEncoder().encodeToString(item.value()),
                            "offset", item.offset()));
        }
        return Http3.Response.of(
                200,
                Json3.write(Json3.map("items", items, "has_more", more, "end", topic.items.size())));
    }
}
