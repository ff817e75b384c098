package io.cardamomshelf.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.job.JobSpec;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;
import io.cardamomshelf.entry.settings.Limits;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The callers' HTTP interface, described in {@code docs/API.md}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class CallersApi {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LARGE = 413;
    private static final int NOT_FOUND = 404;
    private static final int DEFAULT_CORES_EACH = 1;
    private static final int DEFAULT_MEMORY_MB_EACH = 1_000;

    private record RequestForm(
            OrganisationId organisation, Boolean idempotent, Long deadlineMillis, String payload) {}

    private record JobForm(
            OrganisationId organisation,
            Integer accelerators,
            Adjacency adjacency,
            Integer coresEach,
            Integer memoryMbEach,
            Boolean urgent,
            Long estimateMillis,
            String payload) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record RequestReply(
            String requestId, Verdict verdict, Reason reason, int attempts, String answer) {}

    private record JobReply(String requestId, Verdict verdict, Reason reason, JobId job) {}

    private final Vertx vertx;
    private final Limits limits;
    private final SlowSenders senders;
    private final RequestRouter requests;
    private final JobSubmissions jobs;
    private final BooleanSupplier ready;
    private final BooleanSupplier closed;

    CallersApi(
            Vertx vertx,
            Limits limits,
            SlowSenders senders,
            RequestRouter requests,
            JobSubmissions jobs,
            BooleanSupplier ready,
            BooleanSupplier closed) {
        this.vertx = vertx;
        this.limits = limits;
        this.senders = senders;
        this.requests = requests;
        this.jobs = jobs;
        this.ready = ready;
        this.closed = closed;
    }

    Router router() {
        Router router = Router.router(vertx);
        router.route().handler(senders::started);
        router.get("/health").handler(context -> context.endAndForget("ok"));
        router.get("/ready").handler(this::readiness);
        router.route("/v1/*").handler(this::refuseWhenClosed);
        router.route("/v1/*")
                .handler(BodyHandler.create(false).setBodyLimit(limits.maxBodyBytes()));
        router.route("/v1/*").handler(senders::whole);
        router.post("/v1/requests").handler(this::request);
        router.post("/v1/jobs").handler(this::job);
        router.get("/v1/jobs/:id").handler(this::showJob);
        router.delete("/v1/jobs/:id").handler(this::cancelJob);
        router.errorHandler(TOO_LARGE, context -> tooLarge(context));
        router.errorHandler(NOT_FOUND, CallersApi::noSuchPath);
        return router;
    }

    private void readiness(RoutingContext context) {
        boolean serves = ready.getAsBoolean();
        context.response().setStatusCode(serves ? OK : UNAVAILABLE);
        context.endAndForget(serves ? "ready" : "not ready");
    }

    private void refuseWhenClosed(RoutingContext context) {
        if (closed.getAsBoolean()) {
            context.response().putHeader("Connection", "close");
            Problem.send(context, Verdict.NOT_RUN, Reason.LEAVING, "", "", "");
        } else {
            context.next();
        }
    }

    private void request(RoutingContext context) {
        String requestId = InstanceIdentity.unique();
        Optional<RequestForm> form = body(context, RequestForm.class);
        if (form.isEmpty()) {
            return;
        }
        try {
            RequestCall call = call(context, form.get());
            requests.answer(requestId, call)
                    .subscribe()
                    .with(
                            answer -> reply(context, requestId, answer),
                            failure -> reply(context, requestId, lost()));
        } catch (IllegalArgumentException e) {
            invalid(context, fieldOf(e), e.getMessage());
        }
    }

    private static Answer lost() {
        return Answer.mayHaveRun(Reason.ANSWER_LOST);
    }

    private RequestCall call(RoutingContext context, RequestForm form) {
        String key = Optional.ofNullable(context.request().getHeader("Idempotency-Key")).orElse("");
        long deadline =
                form.deadlineMillis() == null
                        ? limits.defaultDeadlineMillis()
                        : form.deadlineMillis();
        Checks.range("deadlineMillis", deadline, 1, limits.maxDeadlineMillis());
        boolean idempotent = Checks.notNull("idempotent", form.idempotent());
        return new RequestCall(form.organisation(), idempotent, key, deadline, form.payload());
    }

    private static void reply(RoutingContext context, String requestId, Answer answer) {
        if (answer.verdict() != Verdict.RAN) {
            Problem.send(context, answer.verdict(), answer.reason(), requestId, "", "");
            return;
        }
        send(
                context,
                OK,
                new RequestReply(
                        requestId,
                        answer.verdict(),
                        answer.reason(),
                        answer.attempts(),
                        answer.answer()));
    }

    private void job(RoutingContext context) {
        String requestId = InstanceIdentity.unique();
        Optional<JobForm> form = body(context, JobForm.class);
        if (form.isEmpty()) {
            return;
        }
        try {
            jobs.accept(requestId, spec(form.get()))
                    .subscribe()
                    .with(
                            accepted -> reply(context, requestId, accepted),
                            failure -> reply(context, requestId, lost()));
        } catch (IllegalArgumentException e) {
            invalid(context, fieldOf(e), e.getMessage());
        }
    }

    private static JobSpec spec(JobForm form) {
        int accelerators = Checks.notNull("accelerators", form.accelerators());
        Demand demand =
                new Demand(
                        accelerators,
                        form.adjacency() == null ? Adjacency.RACK : form.adjacency(),
                        form.coresEach() == null ? DEFAULT_CORES_EACH : form.coresEach(),
                        form.memoryMbEach() == null ? DEFAULT_MEMORY_MB_EACH : form.memoryMbEach());
        long estimate = Checks.notNull("estimateMillis", form.estimateMillis());
        return new JobSpec(
                form.organisation(),
                demand,
                Boolean.TRUE.equals(form.urgent()),
                estimate,
                form.payload());
    }

    private static void reply(
            RoutingContext context, String requestId, JobSubmissions.Acceptance accepted) {
        if (accepted.reason() == Reason.OK) {
            send(
                    context,
                    ACCEPTED,
                    new JobReply(requestId, Verdict.NOT_RUN, Reason.OK, accepted.job()));
        } else {
            String detail = accepted.detail();
            Problem.send(context, accepted.verdict(), accepted.reason(), requestId, "", detail);
        }
    }

    private void showJob(RoutingContext context) {
        withJob(
                context,
                id ->
                        jobs.show(id)
                                .ifPresentOrElse(
                                        view -> send(context, OK, view),
                                        () -> unknown(context, id)));
    }

    private void cancelJob(RoutingContext context) {
        withJob(
                context,
                id -> {
                    if (jobs.show(id).isEmpty()) {
                        unknown(context, id);
                        return;
                    }
                    jobs.cancel(id)
                            .subscribe()
                            .with(
                                    offset -> send(context, ACCEPTED, jobs.show(id).orElseThrow()),
                                    failure -> reply(context, "", lost()));
                });
    }

    private void withJob(RoutingContext context, Consumer<JobId> then) {
        try {
            then.accept(JobId.of(context.pathParam("id")));
        } catch (IllegalArgumentException e) {
            invalid(context, "id", e.getMessage());
        }
    }

    private static void noSuchPath(RoutingContext context) {
        String detail = "no such path: " + context.request().path();
        Problem.send(context, Verdict.NOT_RUN, Reason.UNKNOWN, "", "", detail);
    }

    private static void unknown(RoutingContext context, JobId id) {
        Problem.send(context, Verdict.NOT_RUN, Reason.UNKNOWN, "", "id", id + " is unknown");
    }

    private <T> Optional<T> body(RoutingContext context, Class<T> type) {
        try {
            String text = context.body().asString();
            return Optional.of(Json.read(text == null ? "" : text, type));
        } catch (FormatException e) {
            invalid(context, e.field(), e.getMessage());
            return Optional.empty();
        }
    }

    private void tooLarge(RoutingContext context) {
        invalid(context, "body", "is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static void invalid(RoutingContext context, String field, String detail) {
        Problem.send(context, Verdict.NOT_RUN, Reason.INVALID, "", field, detail);
    }

    /** A guard's message starts with the field that it refused. */
    private static String fieldOf(IllegalArgumentException refusal) {
        String message = String.valueOf(refusal.getMessage());
        int end = message.indexOf(':');
        return end < 0 ? "" : message.substring(0, end).replace(" length", "");
    }

    private static void send(RoutingContext context, int status, Object body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .endAndForget(Json.write(body));
    }
}
