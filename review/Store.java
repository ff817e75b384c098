package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stands in for the platform's store: keyed topics with one partition, appends with producer epochs
 * and sequence numbers, long reads, newest records. Workers write their entries with {@code PUT
 * /servers/ID}, as the pages leave open how; an entry expires after three heartbeats of silence.
 */
public final class Store {

    /** What the store does with calls. */
    public enum Mode {
        SERVING,
        /** Answers 503 and does nothing. */
        BUSY,
        /** Does nothing and never answers. */
        SILENT
    }

    private static final int REPEATS_KEPT = 5;
    private static final long HEARTBEAT_MILLIS = 1_500;

    private static final class Topic {
        private final List<byte[]> records = new ArrayList<>();
        private final Map<String, Integer> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();

        private void add(String key, byte[] value) {
            byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + value.length);
            record.put((byte) keyBytes.length).put(keyBytes).put(value);
            if (value.length == 0) {
                newest.remove(key);
            } else {
                newest.put(key, records.size());
            }
            records.add(record.array());
        }
    }

    private static final class Producer {
        private long epoch;
        private long sequence;
        private final LinkedHashMap<Long, Integer> offsets = new LinkedHashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<String, Long> heardMillis = new HashMap<>();
    private final Record record;
    private final HttpServer server;
    private volatile Mode mode = Mode.SERVING;

    public Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/", this::serve);
        server.start();
        Thread expiry = daemon(this::expire);
        expiry.start();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public int port() {
        return server.getAddress().getPort();
    }

    /** Changes what the store does with calls from now on. */
    public void set(Mode newMode) {
        record.add("store " + newMode);
        if (newMode == Mode.SERVING) {
            // Silence while the store was away doesn't count.
            synchronized (this) {
                heardMillis.replaceAll((id, millis) -> System.currentTimeMillis());
            }
        }
        mode = newMode;
    }

    /** Writes as the operator. */
    public synchronized void operator(String key, String value) {
        record.add("operator writes " + key);
        topic("keyed.op").add(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    private void expire() {
        while (true) {
            pause(250);
            synchronized (this) {
                long now = System.currentTimeMillis();
                for (String id : List.copyOf(heardMillis.keySet())) {
                    if (mode == Mode.SERVING && now - heardMillis.get(id) > 3 * HEARTBEAT_MILLIS) {
                        heardMillis.remove(id);
                        topic("keyed.servers").add(id, new byte[0]);
                        record.add("store expires servers/" + id);
                        notifyAll();
                    }
                }
            }
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (mode == Mode.BUSY) {
            Http.answer(exchange, 503, "{}");
            return;
        }
        while (mode == Mode.SILENT) {
            // A call that got no answer isn't carried out later either.
            pause(100);
            if (mode != Mode.SILENT) {
                exchange.close();
                return;
            }
        }
        Map<String, String> query = Http.query(exchange);
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/log-append":
                append(exchange, query, body);
                break;
            case "/log-read":
                read(exchange, query);
                break;
            case "/log-newest":
                newest(exchange, query);
                break;
            default:
                if (path.startsWith("/servers/") && exchange.getRequestMethod().equals("PUT")) {
                    register(path.substring("/servers/".length()), body);
                    Http.answer(exchange, 200, "{}");
                } else {
                    Http.answer(exchange, 404, "{}");
                }
        }
    }

    private synchronized void register(String id, byte[] entry) {
        heardMillis.put(id, System.currentTimeMillis());
        topic("keyed.servers").add(id, entry);
        notifyAll();
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException {
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            Http.answer(exchange, 403, "{}");
            return;
        }
        pause(1);
        int status = 200;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            Topic topic = topic(name);
            Producer producer = null;
            if (query.containsKey("producer")) {
                long epoch = Long.parseLong(query.get("epoch"));
                long sequence = Long.parseLong(query.get("sequence"));
                producer =
                        topic.producers.computeIfAbsent(
                                query.get("producer"), key -> new Producer());
                if (epoch < producer.epoch) {
                    status = 409;
                    answer.put("reason", "fenced");
                } else if (epoch > producer.epoch) {
                    producer.epoch = epoch;
                    producer.sequence = sequence;
                    producer.offsets.clear();
                } else if (producer.offsets.containsKey(sequence)) {
                    answer.put("offset", producer.offsets.get(sequence));
                    answer.put("end", topic.records.size());
                    producer = null;
                } else if (sequence != producer.sequence + 1) {
                    status = 409;
                    answer.put("reason", "seq");
                    answer.put("sequence", producer.sequence + 1);
                } else {
                    producer.sequence = sequence;
                }
            }
            if (status == 200 && answer.isEmpty()) {
                int offset = topic.records.size();
                ByteBuffer buffer = ByteBuffer.wrap(body);
                while (buffer.remaining() >= 4) {
                    byte[] raw = new byte[buffer.getInt()];
                    buffer.get(raw);
                    int keyLength = raw[0] & 0xff;
                    topic.add(
                            new String(raw, 1, keyLength, StandardCharsets.UTF_8),
                            Arrays.copyOfRange(raw, 1 + keyLength, raw.length));
                }
                if (producer != null) {
                    producer.offsets.put(producer.sequence, offset);
                    if (producer.offsets.size() > REPEATS_KEPT) {
                        producer.offsets.remove(producer.offsets.keySet().iterator().next());
                    }
                }
                answer.put("offset", offset);
                answer.put("end", topic.records.size());
                notifyAll();
            }
        }
        Http.answer(exchange, status, Json.write(answer));
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
        int from = Integer.parseInt(query.get("from"));
        long untilMillis =
                System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        byte[] answer;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            long leftMillis = untilMillis - System.currentTimeMillis();
            while (topic.records.size() <= from && leftMillis > 0) {
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                leftMillis = untilMillis - System.currentTimeMillis();
            }
            int length = 16;
            for (int i = from; i < topic.records.size(); i++) {
                length += 4 + topic.records.get(i).length;
            }
            ByteBuffer buffer = ByteBuffer.allocate(length);
            buffer.putLong(topic.records.size()).putLong(0);
            for (int i = from; i < topic.records.size(); i++) {
                buffer.putInt(topic.records.get(i).length).put(topic.records.get(i));
            }
            answer = buffer.array();
        }
        if (mode == Mode.BUSY) {
            Http.answer(exchange, 503, "{}");
            return;
        }
        Http.answer(exchange, 200, answer);
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        List<Object> items = new ArrayList<>();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            for (Map.Entry<String, Integer> entry : topic.newest.entrySet()) {
                byte[] raw = topic.records.get(entry.getValue());
                byte[] value = Arrays.copyOfRange(raw, 1 + (raw[0] & 0xff), raw.length);
                Map<String, Object> item = new LinkedHashMap<>();
                item.put("key", entry.getKey());
                item.put("value", Base64.getEncoder().encodeToString(value));
                item.put("offset", entry.getValue());
                items.add(item);
            }
            answer.put("items", items);
            answer.put("has_more", false);
            answer.put("end", topic.records.size());
        }
        Http.answer(exchange, 200, Json.write(answer));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
