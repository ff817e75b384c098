package io.cardamomshelf.standin;

import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.core.base.Checks;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands in for the platform's append-only log: streams with offsets, a retention and an append
 * rate.
 *
 * <p>Use: {@code log.mode(Mode.LOSE_ANSWERS)} in-process, or {@code PUT /admin/mode} with {@code
 * {"mode":"DOWN","millis":0}}.
 *
 * <p>Routes and switches run on the event loop of the first caller; one stand-in serves one loop.
 */
public final class LogStandin extends HttpStandin {

    /** How the log behaves. */
    public enum Mode {
        /** It answers. */
        UP,
        /** It refuses everything with 503, and nothing takes effect. */
        DOWN,
        /** It takes calls and never answers, and nothing takes effect. */
        HANG,
        /** It answers after a pause. */
        SLOW,
        /** It appends, then closes the connection without an answer. */
        LOSE_ANSWERS
    }

    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final int MAX_PAGE = 1_000;
    private static final long SECOND_MILLIS = 1_000;

    private record ModeForm(Mode mode, long millis) {}

    private record Appended(long offset) {}

    private record Waiter(Runnable serve) {}

    private static final class Stream {
        private final Deque<LogPage.LogRecord> records = new ArrayDeque<>();
        private final List<Waiter> waiters = new ArrayList<>();
        private long next = 1;

        LogPage page(long from) {
            List<LogPage.LogRecord> found =
                    records.stream()
                            .filter(record -> record.offset() >= from)
                            .limit(MAX_PAGE)
                            .toList();
            long first = records.isEmpty() ? next : records.peekFirst().offset();
            return new LogPage(first, next, found);
        }
    }

    private final int retention;
    private final int appendsPerSecond;
    private final Map<String, Stream> streams = new HashMap<>();
    private Mode mode = Mode.UP;
    private long slowMillis;
    private long windowStart;
    private int windowAppends;

    /**
     * Creates a log.
     *
     * @param vertx the event loops, not null
     * @param retention how many records a stream keeps, from 1
     * @param appendsPerSecond how many appends it takes in a second, from 1
     */
    public LogStandin(Vertx vertx, int retention, int appendsPerSecond) {
        super(vertx);
        this.retention = (int) Checks.range("retention", retention, 1, Integer.MAX_VALUE);
        this.appendsPerSecond =
                (int) Checks.range("appendsPerSecond", appendsPerSecond, 1, Integer.MAX_VALUE);
    }

    /**
     * Switches the behaviour.
     *
     * @param newMode the behaviour, not null
     */
    public synchronized void mode(Mode newMode) {
        mode(newMode, 0);
    }

    /**
     * Switches the behaviour.
     *
     * @param newMode the behaviour, not null
     * @param millis the pause of a slow log, in milliseconds
     */
    public synchronized void mode(Mode newMode, long millis) {
        mode = newMode;
        slowMillis = millis;
    }

    @Override
    void route(Router router) {
        onPut(router, "/admin/mode", ModeForm.class, form -> mode(form.mode(), form.millis()));
        router.route("/streams/*").handler(this::misbehave);
        router.post("/streams/:stream/records").handler(this::append);
        router.get("/streams/:stream/records").handler(this::read);
    }

    private synchronized void misbehave(RoutingContext context) {
        switch (mode) {
            case DOWN -> fail(context, UNAVAILABLE, "the log is down");
            case HANG -> context.request().pause();
            case SLOW -> vertx().setTimer(Math.max(1, slowMillis), id -> context.next());
            default -> context.next();
        }
    }

    private synchronized void append(RoutingContext context) {
        if (isOverRate()) {
            fail(context, TOO_MANY, "more than " + appendsPerSecond + " appends in a second");
            return;
        }
        Stream stream = stream(context);
        long offset = stream.next++;
        stream.records.addLast(new LogPage.LogRecord(offset, context.body().asString()));
        if (stream.records.size() > retention) {
            stream.records.removeFirst();
        }
        List<Waiter> due = List.copyOf(stream.waiters);
        stream.waiters.clear();
        due.forEach(waiter -> waiter.serve().run());
        if (mode == Mode.LOSE_ANSWERS) {
            context.request().connection().closeAndForget();
        } else {
            reply(context, OK, new Appended(offset));
        }
    }

    private boolean isOverRate() {
        long now = System.currentTimeMillis();
        if (now - windowStart >= SECOND_MILLIS) {
            windowStart = now;
            windowAppends = 0;
        }
        windowAppends++;
        return windowAppends > appendsPerSecond;
    }

    private synchronized void read(RoutingContext context) {
        Stream stream = stream(context);
        long from = number(context, "from", 1);
        long wait = Math.min(MAX_WAIT_MILLIS, number(context, "wait", 0));
        if (from < stream.next || wait == 0) {
            reply(context, OK, stream.page(from));
            return;
        }
        boolean[] served = {false};
        Runnable serve =
                () -> {
                    if (!served[0]) {
                        served[0] = true;
                        reply(context, OK, stream.page(from));
                    }
                };
        Waiter waiter = new Waiter(serve);
        stream.waiters.add(waiter);
        vertx().setTimer(wait, id -> expire(stream, waiter));
    }

    private synchronized void expire(Stream stream, Waiter waiter) {
        stream.waiters.remove(waiter);
        waiter.serve().run();
    }

    private Stream stream(RoutingContext context) {
        return streams.computeIfAbsent(context.pathParam("stream"), any -> new Stream());
    }

    private static long number(RoutingContext context, String name, long otherwise) {
        String text = context.request().getParam(name);
        return text == null ? otherwise : Long.parseLong(text);
    }
}
