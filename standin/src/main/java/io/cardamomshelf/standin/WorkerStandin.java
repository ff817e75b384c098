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
 * Stands in for a worker, which is also an upstream: it grants leases, simulates tasks, sends
 * reports and answers requests.
 *
 * <p>Use: {@code worker.mode(Mode.CUT)} in-process, or {@code PUT /admin/mode} with {@code
 * {"mode":"CUT","millis":0}}. {@code runs()} lists the payload of each request that ran, so that a
 * test can check that none ran twice.
 *
 * <p>Thread-safe.
 */
public final class WorkerStandin extends HttpStandin {

    /** How the worker behaves. */
    public enum Mode {
        /** It answers completely and at once. */
        NORMAL,
        /** Every request and task fails. */
        FAIL_ALL,
        /** It accepts calls and never answers; nothing runs. */
        FREEZE,
        /** It runs requests and answers after a pause. */
        LATE,
        /** It runs requests and answers with the answer to the previous request. */
        CROSSED,
        /** It runs requests and closes the connection in the middle of the answer. */
        CUT,
        /** It refuses requests with 503 before running them. */
        REFUSE
    }

    private record ModeForm(Mode mode, long millis) {}

    private record Runs(List<String> requests, List<JobId> tasks) {}

    private record Answer(String correlation, String body) {}

    private final Worker worker;
    private final LeaseTable leases;
    private final List<String> requestPayloads = new ArrayList<>();
    private Answer previousAnswer = new Answer("none", "none");
    private Mode currentMode = Mode.NORMAL;
    private long lateAnswerMillis;

    /**
     * Creates a worker.
     *
     * @param vertx the event loops, not null
     * @param worker its properties, not null
     */
    public WorkerStandin(Vertx vertx, Worker worker) {
        super(vertx);
        this.worker = worker;
        this.leases = new LeaseTable(worker.accelerators());
    }

    /**
     * Switches the behaviour.
     *
     * @param newMode the behaviour, not null
     * @param millis the pause of late answers, in milliseconds
     */
    public synchronized void setMode(Mode newMode, long millis) {
        currentMode = newMode;
        lateAnswerMillis = millis;
        leases.setFailing(newMode == Mode.FAIL_ALL);
    }

    /**
     * Returns the payloads of the requests that ran, in order.
     *
     * @return the payloads, never null
     */
    public synchronized List<String> requestPayloads() {
        return List.copyOf(requestPayloads);
    }

    /**
     * Returns the jobs of the tasks that started, in order.
     *
     * @return the jobs, never null
     */
    public synchronized List<JobId> startedJobs() {
        return leases.startedJobs();
    }

    /**
     * Returns the run time that stopped tasks had done since their last checkpoints.
     *
     * @return the time, in milliseconds
     */
    public synchronized long discardedMillis() {
        return leases.discardedMillis();
    }

    /**
     * Returns whether a task runs now.
     *
     * @return true if a task runs
     */
    public synchronized boolean isBusy() {
        leases.advance(now());
        return leases.busyAccelerators() > 0;
    }

    @Override
    void addRoutes(Router router) {
        addPutRoute(
                router, "/admin/mode", ModeForm.class, form -> setMode(form.mode(), form.millis()));
        router.get("/admin/runs")
                .handler(context -> reply(context, OK, new Runs(requestPayloads(), startedJobs())));
        router.route("/v1/*").handler(this::pauseIfFrozen);
        router.post("/v1/run").handler(this::run);
        router.post("/v1/report")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Poll.class,
                                        poll -> report(context, poll)));
        router.post("/v1/leases/hold")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Hold.class,
                                        hold -> hold(context, hold)));
        router.post("/v1/leases/throttle")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Throttle.class,
                                        throttle -> throttle(context, throttle)));
        router.post("/v1/leases/:step")
                .handler(
                        context ->
                                withBody(
                                        context,
                                        WorkerCommand.Step.class,
                                        step -> step(context, step)));
    }

    private synchronized void pauseIfFrozen(RoutingContext context) {
        if (currentMode == Mode.FREEZE) {
            context.request().pause();
        } else {
            context.next();
        }
    }

    private synchronized void hold(RoutingContext context, WorkerCommand.Hold hold) {
        answerOrder(context, leases.hold(hold, now()));
    }

    private synchronized void throttle(RoutingContext context, WorkerCommand.Throttle throttle) {
        answerOrder(context, leases.throttle(throttle, now()));
    }

    private synchronized void step(RoutingContext context, WorkerCommand.Step step) {
        switch (context.pathParam("step")) {
            case "commit" -> answerOrder(context, leases.commit(step, now()));
            case "start" -> answerOrder(context, leases.start(step, script(step), now()));
            case "checkpoint" -> checkpoint(context, step);
            case "stop" -> answerOrder(context, leases.stop(step, now()));
            default -> fail(context, BAD_REQUEST, "no such step");
        }
    }

    private void checkpoint(RoutingContext context, WorkerCommand.Step step) {
        leases.checkpoint(step, now())
                .ifPresentOrElse(
                        text -> reply(context, OK, new WorkerCommand.Checkpoint(text)),
                        () -> fail(context, CONFLICT, "job " + step.job() + " doesn't run here"));
    }

    private TaskScript script(WorkerCommand.Step step) {
        return leases.annotation(step.job())
                .map(annotation -> TaskScript.parse(annotation.spec().payload()))
                .orElse(TaskScript.parse(""));
    }

    private synchronized void report(RoutingContext context, WorkerCommand.Poll poll) {
        long now = now();
        poll.renewals().forEach(renewal -> leases.renew(renewal, poll.ttlMillis(), now));
        leases.advance(now);
        if (leases.version() == poll.since()) {
            context.response().setStatusCode(NO_CONTENT).endAndForget();
            return;
        }
        reply(
                context,
                OK,
                new WorkerReport(
                        worker, leases.version(), leases.leases(now), leases.busyAccelerators()));
    }

    private synchronized void run(RoutingContext context) {
        String correlation = context.request().getHeader(UpstreamClient.CORRELATION_HEADER);
        String payload = Optional.ofNullable(context.body().asString()).orElse("");
        if (currentMode == Mode.REFUSE) {
            context.response().putHeader(UpstreamClient.CORRELATION_HEADER, correlation);
            fail(context, SERVICE_UNAVAILABLE, "refused");
            return;
        }
        requestPayloads.add(payload);
        Answer answer = new Answer(correlation, "done:" + payload);
        switch (currentMode) {
            case FAIL_ALL -> {
                context.response().putHeader(UpstreamClient.CORRELATION_HEADER, correlation);
                fail(context, SERVER_ERROR, "failed");
            }
            case LATE ->
                    vertx().setTimer(Math.max(1, lateAnswerMillis), id -> send(context, answer));
            case CROSSED -> send(context, previousAnswer);
            case CUT -> sendTruncated(context, answer);
            default -> send(context, answer);
        }
        previousAnswer = answer;
    }

    private static void send(RoutingContext context, Answer answer) {
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        context.response()
                .putHeader(UpstreamClient.CORRELATION_HEADER, answer.correlation())
                .putHeader(Digest.HEADER, Digest.of(bytes))
                .endAndForget(answer.body());
    }

    private static void sendTruncated(RoutingContext context, Answer answer) {
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        HttpServerResponse response = context.response().getDelegate();
        response.putHeader(UpstreamClient.CORRELATION_HEADER, answer.correlation());
        response.putHeader(Digest.HEADER, Digest.of(bytes));
        response.putHeader("Content-Length", "" + bytes.length);
        response.write(answer.body().substring(0, answer.body().length() / 2))
                .onComplete(done -> context.request().connection().closeAndForget());
    }

    private static void answerOrder(RoutingContext context, Optional<String> refusal) {
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
