package io.cardamomshelf.standin;

import io.cardamomshelf.client.Digest;
import io.cardamomshelf.client.UpstreamClient;
import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.lease.WorkerReport;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Stands in for a worker, which is an upstream too: leases, tasks, reports and requests.
 *
 * <p>Use: {@code worker.mode(Mode.CUT)} in-process, or {@code PUT /admin/mode} with {@code
 * {"mode":"CUT","millis":0}}. {@code runs()} lists the payload of each request that ran, so that a
 * test sees whether one ran twice.
 *
 * <p>Thread-safe.
 */
public final class WorkerStandin extends HttpStandin {

    /** How the worker behaves. */
    public enum Mode {
        /** It answers whole. */
        NORMAL,
        /** Every request and task fails. */
        FAIL_ALL,
        /** It takes calls and never answers; nothing runs. */
        FREEZE,
        /** It runs requests and answers after a pause. */
        LATE,
        /** It runs requests and answers with the answer of the one before. */
        CROSSED,
        /** It runs requests and cuts the answer short. */
        CUT,
        /** It refuses requests with 503 before running them. */
        REFUSE
    }

    private record ModeForm(Mode mode, long millis) {}

    private record Runs(List<String> requests, List<JobId> tasks) {}

    private record Answer(String correlation, String body) {}

    private final Worker worker;
    private final LeaseTable book;
    private final List<String> runs = new ArrayList<>();
    private Answer previous = new Answer("none", "none");
    private Mode mode = Mode.NORMAL;
    private long lateMillis;

    /**
     * Creates a worker.
     *
     * @param vertx the event loops, not null
     * @param worker its properties, not null
     */
    public WorkerStandin(Vertx vertx, Worker worker) {
        super(vertx);
        this.worker = worker;
        this.book = new LeaseTable(worker.accelerators());
    }

    /**
     * Switches the behaviour.
     *
     * @param newMode the behaviour, not null
     * @param millis the pause of late answers, in milliseconds
     */
    public synchronized void mode(Mode newMode, long millis) {
        mode = newMode;
        lateMillis = millis;
        book.failing(newMode == Mode.FAIL_ALL);
    }

    /**
     * Returns the payloads of the requests that ran, in order.
     *
     * @return the payloads, never null
     */
    public synchronized List<String> runs() {
        return List.copyOf(runs);
    }

    /**
     * Returns the jobs of the tasks that started, in order.
     *
     * @return the jobs, never null
     */
    public synchronized List<JobId> starts() {
        return book.started();
    }

    /**
     * Returns the run time that stopped tasks had done since their last checkpoint.
     *
     * @return the time, in milliseconds
     */
    public synchronized long discardedMillis() {
        return book.discardedMillis();
    }

    /**
     * Asks whether a task runs now.
     *
     * @return true if one does
     */
    public synchronized boolean isBusy() {
        book.advance(now());
        return book.busy() > 0;
    }

    @Override
    void route(Router router) {
        onPut(router, "/admin/mode", ModeForm.class, form -> mode(form.mode(), form.millis()));
        router.get("/admin/runs")
                .handler(context -> reply(context, OK, new Runs(runs(), starts())));
        router.route("/v1/*").handler(this::freeze);
        router.post("/v1/run").handler(this::run);
        router.post("/v1/report")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Poll.class,
                                        p -> report(context, p)));
        router.post("/v1/leases/hold")
                .handler(
                        context ->
                                withBody(context, WorkerCommand.Hold.class, h -> hold(context, h)));
        router.post("/v1/leases/throttle")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Throttle.class,
                                        t -> throttle(context, t)));
        router.post("/v1/leases/:step")
                .handler(
                        context ->
                                withBody(context, WorkerCommand.Step.class, s -> step(context, s)));
    }

    private synchronized void freeze(RoutingContext context) {
        if (mode == Mode.FREEZE) {
            context.request().pause();
        } else {
            context.next();
        }
    }

    private synchronized void hold(RoutingContext context, WorkerCommand.Hold hold) {
        answer(context, book.hold(hold, now()));
    }

    private synchronized void throttle(RoutingContext context, WorkerCommand.Throttle throttle) {
        answer(context, book.throttle(throttle, now()));
    }

    private synchronized void step(RoutingContext context, WorkerCommand.Step step) {
        switch (context.pathParam("step")) {
            case "commit" -> answer(context, book.commit(step, now()));
            case "start" -> answer(context, book.start(step, script(step), now()));
            case "checkpoint" -> checkpoint(context, step);
            case "stop" -> answer(context, book.stop(step, now()));
            default -> fail(context, BAD_REQUEST, "no such step");
        }
    }

    private void checkpoint(RoutingContext context, WorkerCommand.Step step) {
        book.checkpoint(step, now())
                .ifPresentOrElse(
                        text -> reply(context, OK, new WorkerCommand.Checkpoint(text)),
                        () -> fail(context, CONFLICT, "job " + step.job() + " doesn't run here"));
    }

    private TaskScript script(WorkerCommand.Step step) {
        return book.note(step.job())
                .map(note -> TaskScript.parse(note.spec().payload()))
                .orElse(TaskScript.parse(""));
    }

    private synchronized void report(RoutingContext context, WorkerCommand.Poll poll) {
        long now = now();
        poll.renewals().forEach(renewal -> book.renew(renewal, poll.ttlMillis(), now));
        book.advance(now);
        if (book.version() == poll.since()) {
            context.response().setStatusCode(NO_CONTENT).endAndForget();
            return;
        }
        reply(context, OK, new WorkerReport(worker, book.version(), book.leases(now), book.busy()));
    }

    private synchronized void run(RoutingContext context) {
        String correlation = context.request().getHeader(UpstreamClient.CORRELATION_HEADER);
        String payload = Optional.ofNullable(context.body().asString()).orElse("");
        if (mode == Mode.REFUSE) {
            context.response().putHeader(UpstreamClient.CORRELATION_HEADER, correlation);
            fail(context, UNAVAILABLE, "refused");
            return;
        }
        runs.add(payload);
        Answer own = new Answer(correlation, "done:" + payload);
        switch (mode) {
            case FAIL_ALL -> {
                context.response().putHeader(UpstreamClient.CORRELATION_HEADER, correlation);
                fail(context, SERVER_ERROR, "failed");
            }
            case LATE -> vertx().setTimer(Math.max(1, lateMillis), id -> send(context, own));
            case CROSSED -> send(context, previous);
            case CUT -> cut(context, own);
            default -> send(context, own);
        }
        previous = own;
    }

    private static void send(RoutingContext context, Answer answer) {
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        context.response()
                .putHeader(UpstreamClient.CORRELATION_HEADER, answer.correlation())
                .putHeader(Digest.HEADER, Digest.of(bytes))
                .endAndForget(answer.body());
    }

    private static void cut(RoutingContext context, Answer answer) {
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        HttpServerResponse response = context.response().getDelegate();
        response.putHeader(UpstreamClient.CORRELATION_HEADER, answer.correlation());
        response.putHeader(Digest.HEADER, Digest.of(bytes));
        response.putHeader("Content-Length", "" + bytes.length);
        response.write(answer.body().substring(0, answer.body().length() / 2))
                .onComplete(done -> context.request().connection().closeAndForget());
    }

    private static void answer(RoutingContext context, Optional<String> refusal) {
        if (refusal.isPresent()) {
            fail(context, CONFLICT, refusal.get());
        } else {
            reply(context, OK, "granted");
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
