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
 * The callers' HTTP interface, described in {@code docs/API.md}. It parses requests and formats
 * answers; {@link RequestRouter} and {@link JobService} process them.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class CallersApi {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LARGE = 413;
    private static final int NOT_FOUND = 404;
    private static final int DEFAULT_CORES_PER_ACCELERATOR = 1;
    private static final int DEFAULT_MEMORY_MB_PER_ACCELERATOR = 1_000;

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
    private final ReceiveTimeouts receiveTimeouts;
    private final RequestRouter requests;
    private final JobService jobs;
    private final BooleanSupplier ready;
    private final BooleanSupplier refusingRequests;

    CallersApi(
            Vertx vertx,
            Limits limits,
            ReceiveTimeouts receiveTimeouts,
            RequestRouter requests,
            JobService jobs,
            BooleanSupplier ready,
            BooleanSupplier refusingRequests) {
        this.vertx = vertx;
        this.limits = limits;
        this.receiveTimeouts = receiveTimeouts;
        this.requests = requests;
        this.jobs = jobs;
        this.ready = ready;
        this.refusingRequests = refusingRequests;
    }

    Router router() {
        Router router = Router.router(vertx);
        router.route().handler(receiveTimeouts::headersReceived);
        router.get("/health").handler(context -> context.endAndForget("ok"));
        router.get("/ready").handler(this::sendReadiness);
        router.route("/v1/*").handler(this::refuseWhenShuttingDown);
        router.route("/v1/*")
                .handler(BodyHandler.create(false).setBodyLimit(limits.maxBodyBytes()));
        router.route("/v1/*").handler(receiveTimeouts::requestReceived);
        router.post("/v1/requests").handler(this::submitRequest);
        router.post("/v1/jobs").handler(this::submitJob);
        router.get("/v1/jobs/:id").handler(this::showJob);
        router.delete("/v1/jobs/:id").handler(this::cancelJob);
        router.errorHandler(TOO_LARGE, context -> sendTooLarge(context));
        router.errorHandler(NOT_FOUND, CallersApi::sendUnknownPath);
        return router;
    }

    private void sendReadiness(RoutingContext context) {
        boolean isReady = ready.getAsBoolean();
        context.response().setStatusCode(isReady ? OK : UNAVAILABLE);
        context.endAndForget(isReady ? "ready" : "not ready");
    }

    private void refuseWhenShuttingDown(RoutingContext context) {
        if (refusingRequests.getAsBoolean()) {
            context.response().putHeader("Connection", "close");
            Problem.send(context, Verdict.NOT_RUN, Reason.LEAVING, "", "", "");
        } else {
            context.next();
        }
    }

    private void submitRequest(RoutingContext context) {
        String requestId = InstanceIdentity.uniqueId();
        Optional<RequestForm> form = readBody(context, RequestForm.class);
        if (form.isEmpty()) {
            return;
        }
        try {
            RequestCall call = requestCall(context, form.get());
            requests.answer(requestId, call)
                    .subscribe()
                    .with(
                            answer -> reply(context, requestId, answer),
                            failure -> reply(context, requestId, answerLost()));
        } catch (IllegalArgumentException e) {
            sendInvalid(context, fieldOf(e), e.getMessage());
        }
    }

    private static Answer answerLost() {
        return Answer.mayHaveRun(Reason.ANSWER_LOST);
    }

    private RequestCall requestCall(RoutingContext context, RequestForm form) {
        String key = Optional.ofNullable(context.request().getHeader("Idempotency-Key")).orElse("");
        long deadlineMillis =
                form.deadlineMillis() == null
                        ? limits.defaultDeadlineMillis()
                        : form.deadlineMillis();
        Checks.range("deadlineMillis", deadlineMillis, 1, limits.maxDeadlineMillis());
        boolean idempotent = Checks.notNull("idempotent", form.idempotent());
        return new RequestCall(
                form.organisation(), idempotent, key, deadlineMillis, form.payload());
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

    private void submitJob(RoutingContext context) {
        String requestId = InstanceIdentity.uniqueId();
        Optional<JobForm> form = readBody(context, JobForm.class);
        if (form.isEmpty()) {
            return;
        }
        try {
            jobs.submit(requestId, jobSpec(form.get()))
                    .subscribe()
                    .with(
                            result -> reply(context, requestId, result),
                            failure -> reply(context, requestId, answerLost()));
        } catch (IllegalArgumentException e) {
            sendInvalid(context, fieldOf(e), e.getMessage());
        }
    }

    private static JobSpec jobSpec(JobForm form) {
        int accelerators = Checks.notNull("accelerators", form.accelerators());
        Demand demand =
                new Demand(
                        accelerators,
                        form.adjacency() == null ? Adjacency.RACK : form.adjacency(),
                        form.coresEach() == null ? DEFAULT_CORES_PER_ACCELERATOR : form.coresEach(),
                        form.memoryMbEach() == null
                                ? DEFAULT_MEMORY_MB_PER_ACCELERATOR
                                : form.memoryMbEach());
        long estimateMillis = Checks.notNull("estimateMillis", form.estimateMillis());
        return new JobSpec(
                form.organisation(),
                demand,
                Boolean.TRUE.equals(form.urgent()),
                estimateMillis,
                form.payload());
    }

    private static void reply(
            RoutingContext context, String requestId, JobService.SubmitResult result) {
        if (result.reason() == Reason.OK) {
            send(
                    context,
                    ACCEPTED,
                    new JobReply(requestId, Verdict.NOT_RUN, Reason.OK, result.job()));
        } else {
            String detail = result.detail();
            Problem.send(context, result.verdict(), result.reason(), requestId, "", detail);
        }
    }

    private void showJob(RoutingContext context) {
        withJob(context, view -> send(context, OK, view), id -> sendUnknownJob(context, id));
    }

    private void cancelJob(RoutingContext context) {
        withJob(
                context,
                view ->
                        appendCancellation(
                                context,
                                view.job(),
                                () ->
                                        send(
                                                context,
                                                ACCEPTED,
                                                jobs.findView(view.job()).orElseThrow())),
                id -> appendCancellation(context, id, () -> sendUnknownJob(context, id)));
    }

    /** Stores a cancellation, also of an unknown job: its acceptance may be stored later. */
    private void appendCancellation(RoutingContext context, JobId id, Runnable whenStored) {
        jobs.cancel(id)
                .subscribe()
                .with(offset -> whenStored.run(), failure -> reply(context, "", answerLost()));
    }

    /** Calls an action with the job that the path names, or another one if it is unknown. */
    private void withJob(
            RoutingContext context, Consumer<JobService.View> action, Consumer<JobId> ifUnknown) {
        try {
            JobId id = JobId.of(context.pathParam("id"));
            jobs.findCurrentView(id)
                    .subscribe()
                    .with(
                            view -> view.ifPresentOrElse(action, () -> ifUnknown.accept(id)),
                            failure -> reply(context, "", Answer.notRun(Reason.LOG_AWAY)));
        } catch (IllegalArgumentException e) {
            sendInvalid(context, "id", e.getMessage());
        }
    }

    private static void sendUnknownPath(RoutingContext context) {
        String detail = "no such path: " + context.request().path();
        Problem.send(context, Verdict.NOT_RUN, Reason.UNKNOWN, "", "", detail);
    }

    private static void sendUnknownJob(RoutingContext context, JobId id) {
        Problem.send(context, Verdict.NOT_RUN, Reason.UNKNOWN, "", "id", id + " is unknown");
    }

    private <T> Optional<T> readBody(RoutingContext context, Class<T> type) {
        try {
            String text = context.body().asString();
            return Optional.of(Json.read(text == null ? "" : text, type));
        } catch (FormatException e) {
            sendInvalid(context, e.field(), e.getMessage());
            return Optional.empty();
        }
    }

    private void sendTooLarge(RoutingContext context) {
        sendInvalid(context, "body", "is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static void sendInvalid(RoutingContext context, String field, String detail) {
        Problem.send(context, Verdict.NOT_RUN, Reason.INVALID, "", field, detail);
    }

    /**
     * Returns the field that a failed check names before the colon of its message, without the
     * suffix of a length check; empty if the message has no colon.
     */
    private static String fieldOf(IllegalArgumentException failure) {
        String message = String.valueOf(failure.getMessage());
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
