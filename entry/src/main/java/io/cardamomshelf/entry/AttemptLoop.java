package io.cardamomshelf.entry;

import io.cardamomshelf.client.PlatformException;
import io.cardamomshelf.client.UpstreamClient;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.request.FairQueue;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.RetryBudget;
import io.cardamomshelf.core.request.Upstream;
import io.cardamomshelf.core.request.UpstreamChooser;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends a request to one upstream after another until it has run or must not be tried again. While
 * all upstreams are at their limit of concurrent requests, it is parked in a queue that serves the
 * organisations in turn. {@link RequestRouter} calls it with requests that may run.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class AttemptLoop {

    private final UpstreamChooser chooser;
    private final UpstreamClient client;
    private final Function<WorkerId, Optional<Endpoint>> endpoints;
    private final Supplier<ConfigState> config;
    private final RetryBudget budget;
    private final Events events;
    private final RandomGenerator random;
    private final Timers timers;
    private final FairQueue<Parked> queue = new FairQueue<>();

    AttemptLoop(
            UpstreamChooser chooser,
            UpstreamClient client,
            Function<WorkerId, Optional<Endpoint>> endpoints,
            Supplier<ConfigState> config,
            RetryBudget budget,
            Events events,
            RandomGenerator random,
            Timers timers) {
        this.chooser = chooser;
        this.client = client;
        this.endpoints = endpoints;
        this.config = config;
        this.budget = budget;
        this.events = events;
        this.random = random;
        this.timers = timers;
    }

    /** The state of one request between its attempts. */
    private static final class Progress {
        private final String requestId;
        private final RequestCall call;
        private final long deadlineMillis;
        private final Set<WorkerId> tried = new HashSet<>();
        private Verdict verdict = Verdict.NOT_RUN;
        private Reason reason = Reason.NO_UPSTREAM;

        Progress(String requestId, RequestCall call) {
            this.requestId = requestId;
            this.call = call;
            this.deadlineMillis = Clock.monotonicMillis() + call.deadlineMillis();
        }

        Answer answer(String body) {
            return new Answer(verdict, reason, tried.size(), body);
        }
    }

    /** A request that waits for an upstream below its limit; compared by identity. */
    private static final class Parked {
        private final Progress progress;
        private final UniEmitter<? super Answer> emitter;

        Parked(Progress progress, UniEmitter<? super Answer> emitter) {
            this.progress = progress;
            this.emitter = emitter;
        }

        Progress progress() {
            return progress;
        }

        UniEmitter<? super Answer> emitter() {
            return emitter;
        }
    }

    /**
     * Runs a request.
     *
     * @return the answer; never fails
     */
    Uni<Answer> run(String requestId, RequestCall call) {
        budget.recordRequest();
        return attempt(new Progress(requestId, call));
    }

    /** Sends as many parked requests as the limits of the upstreams allow. */
    void resumeParked() {
        long now = Clock.monotonicMillis();
        boolean resumed = true;
        while (resumed) {
            resumed = queue.startNext(parked -> resume(parked, now), now);
        }
    }

    private boolean resume(Parked parked, long nowMillis) {
        Optional<Upstream> chosen = choose(parked.progress(), nowMillis);
        chosen.ifPresent(
                upstream ->
                        send(parked.progress(), upstream)
                                .subscribe()
                                .with(parked.emitter()::complete, parked.emitter()::fail));
        return chosen.isPresent();
    }

    private Uni<Answer> attempt(Progress progress) {
        long now = Clock.monotonicMillis();
        long leftMillis = progress.deadlineMillis - now;
        if (leftMillis <= 0) {
            progress.reason = Reason.DEADLINE;
            return Uni.createFrom().item(progress.answer(""));
        }
        // This overtakes no parked request: those are resumed whenever an upstream is released, so
        // none of them can use the upstream that is chosen here.
        Optional<Upstream> chosen = choose(progress, now);
        if (chosen.isPresent()) {
            return send(progress, chosen.get());
        }
        boolean canWait =
                chooser.hasUsableUpstream(
                        dataCentre -> isGranted(progress, dataCentre), progress.tried, now);
        return canWait
                ? park(progress, leftMillis, now)
                : Uni.createFrom().item(progress.answer(""));
    }

    private Optional<Upstream> choose(Progress progress, long nowMillis) {
        return chooser.choose(
                dataCentre -> isGranted(progress, dataCentre), progress.tried, nowMillis, random);
    }

    /** Parks a request until an upstream is below its limit or the deadline has passed. */
    private Uni<Answer> park(Progress progress, long leftMillis, long nowMillis) {
        OrganisationId organisation = progress.call.organisation();
        int weight = config.get().plan(organisation).map(Plan::weight).orElse(1);
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            Parked parked = new Parked(progress, emitter);
                            boolean queued =
                                    queue.offer(
                                            organisation, weight, parked, leftMillis, nowMillis);
                            if (!queued) {
                                progress.reason = Reason.OVERLOADED;
                                emitter.complete(progress.answer(""));
                                return;
                            }
                            timers.delay(leftMillis).subscribe().with(done -> expire(parked));
                            resumeParked();
                        });
    }

    private void expire(Parked parked) {
        if (queue.remove(parked.progress().call.organisation(), parked)) {
            parked.progress().reason = Reason.DEADLINE;
            parked.emitter().complete(parked.progress().answer(""));
        }
    }

    private Uni<Answer> send(Progress progress, Upstream upstream) {
        progress.tried.add(upstream.worker());
        long leftMillis = Math.max(1, progress.deadlineMillis - Clock.monotonicMillis());
        Optional<Endpoint> endpoint = endpoints.apply(upstream.worker());
        if (endpoint.isEmpty()) {
            String message = "worker " + upstream.worker() + " is not in the platform list";
            return failed(progress, upstream, new PlatformException(Verdict.NOT_RUN, message));
        }
        String attempt = progress.requestId + "-" + progress.tried.size();
        return client.run(endpoint.get(), attempt, progress.call.payload(), leftMillis)
                .map(body -> succeeded(progress, upstream, body))
                .onFailure()
                .recoverWithUni(failure -> failed(progress, upstream, failure));
    }

    private boolean isGranted(Progress progress, DataCentreId dataCentre) {
        return config.get().isGranted(progress.call.organisation(), dataCentre);
    }

    private Answer succeeded(Progress progress, Upstream upstream, String body) {
        if (upstream.breaker().isEjected()) {
            events.publish(EventType.WORKER_RESTORED, upstream.worker().value(), "requests");
        }
        chooser.release(upstream, true, Clock.monotonicMillis());
        resumeParked();
        progress.verdict = Verdict.RAN;
        progress.reason = Reason.OK;
        return progress.answer(body);
    }

    private Uni<Answer> failed(Progress progress, Upstream upstream, Throwable failure) {
        String worker = upstream.worker().value();
        if (chooser.release(upstream, false, Clock.monotonicMillis())) {
            events.publish(EventType.WORKER_QUARANTINED, worker, "requests");
        }
        resumeParked();
        Verdict verdict = PlatformException.verdictOf(failure);
        events.publish(
                EventType.ATTEMPT_FAILED,
                progress.requestId,
                worker,
                verdict + " " + failure.getMessage());
        progress.verdict = progress.verdict.combine(verdict);
        progress.reason = verdict == Verdict.NOT_RUN ? Reason.UNREACHABLE : Reason.ANSWER_LOST;
        boolean retry =
                progress.verdict.isRetryable(progress.call.idempotent()) && budget.tryRetry();
        return retry ? attempt(progress) : Uni.createFrom().item(progress.answer(""));
    }
}
