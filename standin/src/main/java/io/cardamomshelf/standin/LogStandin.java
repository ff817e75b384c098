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
 * Stands in for the platform's append-only log: streams with offsets, a limited number of records
 * and a limited append rate.
 *
 * <p>Use: {@code log.setMode(Mode.LOSE_ANSWERS)} in-process, or {@code PUT /admin/mode} with {@code
 * {"mode":"DOWN","millis":0}}.
 *
 * <p>{@code setMode} is thread-safe. Routes run on the event loop of the stand-in's first caller;
 * use each stand-in with one event loop only.
 */
public final class LogStandin extends HttpStandin {

    /** How the log behaves. */
    public enum Mode {
        /** It answers. */
        UP,
        /** It refuses everything with 503, and nothing takes effect. */
        DOWN,
        /** It accepts calls and never answers, and nothing takes effect. */
        HANG,
        /** It answers after a pause. */
        SLOW,
        /** It appends, then closes the connection without an answer. */
        LOSE_ANSWERS,
        /** It appends, and answers after a pause. */
        LATE_ANSWERS,
        /** It appends and answers, but readers that wait for a record get it after a pause. */
        LATE_TAILS
    }

    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final int MAX_PAGE_RECORDS = 1_000;
    private static final long RATE_WINDOW_MILLIS = 1_000;

    private record ModeForm(Mode mode, long millis) {}

    private record Appended(long offset) {}

    private record Waiter(Runnable respond) {}

    private static final class Stream {
        private final Deque<LogPage.LogRecord> records = new ArrayDeque<>();
        private final List<Waiter> waiters = new ArrayList<>();
        private long nextOffset = 1;

        LogPage page(long from) {
            List<LogPage.LogRecord> pageRecords =
                    records.stream()
                            .filter(record -> record.offset() >= from)
                            .limit(MAX_PAGE_RECORDS)
                            .toList();
            long firstOffset = records.isEmpty() ? nextOffset : records.peekFirst().offset();
            return new LogPage(firstOffset, nextOffset, pageRecords);
        }
    }

    private final int retention;
    private final int appendsPerSecond;
    private final Map<String, Stream> streams = new HashMap<>();
    private Mode currentMode = Mode.UP;
    private long slowMillis;
    private long windowStartMillis;
    private int windowAppends;

    /**
     * Creates a log.
     *
     * @param vertx the event loops, not null
     * @param retention how many records a stream keeps, from 1
     * @param appendsPerSecond how many appends it accepts per second, from 1
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
    public synchronized void setMode(Mode newMode) {
        setMode(newMode, 0);
    }

    /**
     * Switches the behaviour.
     *
     * @param newMode the behaviour, not null
     * @param millis the pause of a slow or late log, in milliseconds
     */
    public synchronized void setMode(Mode newMode, long millis) {
        currentMode = newMode;
        slowMillis = millis;
    }

    @Override
    void addRoutes(Router router) {
        addPutRoute(
                router, "/admin/mode", ModeForm.class, form -> setMode(form.mode(), form.millis()));
        router.route("/streams/*").handler(this::applyMode);
        router.post("/streams/:stream/records").handler(this::append);
        router.get("/streams/:stream/records").handler(this::read);
    }

    private synchronized void applyMode(RoutingContext context) {
        switch (currentMode) {
            case DOWN -> fail(context, SERVICE_UNAVAILABLE, "the log is down");
            case HANG -> context.request().pause();
            case SLOW -> vertx().setTimer(Math.max(1, slowMillis), id -> context.next());
            default -> context.next();
        }
    }

    private synchronized void append(RoutingContext context) {
        if (isOverRate()) {
            fail(
                    context,
                    TOO_MANY_REQUESTS,
                    "more than " + appendsPerSecond + " appends in a second");
            return;
        }
        Stream stream = stream(context);
        long offset = stream.nextOffset++;
        stream.records.addLast(new LogPage.LogRecord(offset, context.body().asString()));
        if (stream.records.size() > retention) {
            stream.records.removeFirst();
        }
        List<Waiter> due = List.copyOf(stream.waiters);
        stream.waiters.clear();
        if (currentMode == Mode.LATE_TAILS) {
            vertx().setTimer(
                            Math.max(1, slowMillis),
                            id -> due.forEach(waiter -> waiter.respond().run()));
        } else {
            due.forEach(waiter -> waiter.respond().run());
        }
        switch (currentMode) {
            case LOSE_ANSWERS -> context.request().connection().closeAndForget();
            case LATE_ANSWERS ->
                    vertx().setTimer(
                                    Math.max(1, slowMillis),
                                    id -> reply(context, OK, new Appended(offset)));
            default -> reply(context, OK, new Appended(offset));
        }
    }

    private boolean isOverRate() {
        long nowMillis = System.currentTimeMillis();
        if (nowMillis - windowStartMillis >= RATE_WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            windowAppends = 0;
        }
        windowAppends++;
        return windowAppends > appendsPerSecond;
    }

    private synchronized void read(RoutingContext context) {
        Stream stream = stream(context);
        long from = numberParam(context, "from", 1);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, numberParam(context, "wait", 0));
        if (from < stream.nextOffset || waitMillis == 0) {
            reply(context, OK, stream.page(from));
            return;
        }
        boolean[] answered = {false};
        Runnable respond =
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        reply(context, OK, stream.page(from));
                    }
                };
        Waiter waiter = new Waiter(respond);
        stream.waiters.add(waiter);
        vertx().setTimer(waitMillis, id -> timeOut(stream, waiter));
    }

    private synchronized void timeOut(Stream stream, Waiter waiter) {
        stream.waiters.remove(waiter);
        waiter.respond().run();
    }

    private Stream stream(RoutingContext context) {
        return streams.computeIfAbsent(context.pathParam("stream"), name -> new Stream());
    }

    private static long numberParam(RoutingContext context, String name, long defaultValue) {
        String text = context.request().getParam(name);
        return text == null ? defaultValue : Long.parseLong(text);
    }
}
