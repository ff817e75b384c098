import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/**
 * The platform's store: keyed topics in memory with one partition each, behind one port for each
 * machine of the system.
 *
 * <p>Appends are atomic and in order; epochs and sequence numbers are checked as the pages say. No
 * history expires within the length of a case.
 */
final class StandInStore {

    private record Entry(String key, byte[] value) {}

    private static final class Producer {
        private long epoch = -1;
        private long sequence;
        private final Map<Long, Long> firstOffsets = new LinkedHashMap<>();
    }

    private static final class Topic {
        private final List<Entry> entries = new ArrayList<>();
        private final TreeMap<String, Integer> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();

        private void add(String key, byte[] value) {
            if (value.length == 0) {
                newest.remove(key);
            } else {
                newest.put(key, entries.size());
            }
            entries.add(new Entry(key, value));
        }
    }

    private static final int REPEATS_KEPT = 5;
    private static final int PAGE_RECORDS = 500;

    /** The platform's limits, as the settings have them. */
    static final int RECORD_BYTES = 262_144;

    static final int CALL_BYTES = 2_097_152;

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer[] servers;

    StandInStore(int machines, ExecutorService threads) throws IOException {
        servers = new HttpServer[machines];
        for (int i = 0; i < machines; i++) {
            servers[i] =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
            servers[i].createContext("/", this::serve);
            servers[i].setExecutor(threads);
            servers[i].start();
        }
    }

    int port(int machine) {
        return servers[machine].getAddress().getPort();
    }

    /** Appends as the operator or a worker does; an empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        topic(topic).add(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange);
        try {
            byte[] answer;
            synchronized (this) {
                answer =
                        switch (exchange.getRequestURI().getPath()) {
                            case "/log-append" -> append(query, body);
                            case "/log-read" -> read(query);
                            case "/log-newest" -> newest(query);
                            default -> null;
                        };
            }
            if (answer == null) {
                respond(exchange, 400, new byte[0]);
            } else if (answer.length > 0 && answer[0] == '!') {
                String text = new String(answer, 1, answer.length - 1, StandardCharsets.UTF_8);
                respond(
                        exchange,
                        Integer.parseInt(text.substring(0, 3)),
                        text.substring(3).getBytes(StandardCharsets.UTF_8));
            } else {
                respond(exchange, 200, answer);
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    /** An answer with a status other than 200. */
    private static byte[] failure(int status, String body) {
        return ("!" + status + body).getBytes(StandardCharsets.UTF_8);
    }

    private byte[] append(Map<String, String> query, byte[] body) {
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            return failure(403, "{}");
        }
        if (!isWithinLimits(body)) {
            return failure(400, "{\"reason\":\"size\"}");
        }
        Topic topic = topic(name);
        long first = topic.entries.size();
        if (query.containsKey("producer")) {
            Producer producer =
                    topic.producers.computeIfAbsent(query.get("producer"), key -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("sequence"));
            if (epoch < producer.epoch) {
                return failure(409, "{\"reason\":\"fenced\"}");
            } else if (epoch > producer.epoch) {
                producer.epoch = epoch;
                producer.firstOffsets.clear();
            } else if (producer.firstOffsets.containsKey(sequence)) {
                return offsetAnswer(producer.firstOffsets.get(sequence), topic);
            } else if (sequence != producer.sequence + 1) {
                return failure(
                        409, "{\"reason\":\"seq\",\"expected\":" + (producer.sequence + 1) + "}");
            }
            producer.sequence = sequence;
            producer.firstOffsets.put(sequence, first);
            if (producer.firstOffsets.size() > REPEATS_KEPT) {
                producer.firstOffsets.remove(producer.firstOffsets.keySet().iterator().next());
            }
        }
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] record = new byte[records.getInt()];
            records.get(record);
            int keyLength = record[0] & 0xff;
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            topic.add(new String(record, 1, keyLength, StandardCharsets.UTF_8), value);
        }
        notifyAll();
        return offsetAnswer(first, topic);
    }

    /** Whether no record is longer than a record may be, nor all together than a call may be. */
    private static boolean isWithinLimits(byte[] body) {
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            int length = records.getInt();
            if (length > RECORD_BYTES) {
                return false;
            }
            records.position(records.position() + length);
        }
        return body.length <= CALL_BYTES;
    }

    private static byte[] offsetAnswer(long first, Topic topic) {
        return JsonText.write(JsonText.object("offset", first, "end", (long) topic.entries.size()))
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] read(Map<String, String> query) throws InterruptedException, IOException {
        Topic topic = topic(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long until =
                System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (topic.entries.size() <= from) {
            long remainingMillis = (until - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                break;
            }
            wait(remainingMillis);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.entries.size());
        out.writeLong(0);
        for (int i = from; i < topic.entries.size() && bytes.size() < 1_000_000; i++) {
            byte[] key = topic.entries.get(i).key().getBytes(StandardCharsets.UTF_8);
            byte[] value = topic.entries.get(i).value();
            out.writeInt(1 + key.length + value.length);
            out.writeByte(key.length);
            out.write(key);
            out.write(value);
        }
        return bytes.toByteArray();
    }

    private byte[] newest(Map<String, String> query) {
        Topic topic = topic(query.get("topic"));
        Map<String, Integer> later = topic.newest.tailMap(query.getOrDefault("after", ""), false);
        List<Object> items = new ArrayList<>();
        for (Map.Entry<String, Integer> entry : later.entrySet()) {
            if (items.size() == PAGE_RECORDS) {
                break;
            }
            byte[] value = topic.entries.get(entry.getValue()).value();
            items.add(
                    JsonText.object(
                            "key", entry.getKey(),
                            "value", Base64.getEncoder().encodeToString(value),
                            "offset", (long) entry.getValue()));
        }
        return JsonText.write(
                        JsonText.object(
                                "items",
                                items,
                                "has_more",
                                items.size() < later.size(),
                                "end",
                                (long) topic.entries.size()))
                .getBytes(StandardCharsets.UTF_8);
    }

    static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) {
            for (String pair : text.split("&")) {
                int separator = pair.indexOf('=');
                query.put(pair.substring(0, separator), pair.substring(separator + 1));
            }
        }
        return query;
    }
}
