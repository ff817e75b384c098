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
 * Sends a request to one upstream after another until it has run, or may not be tried again; while
 * every place is taken it waits its organisation's turn.
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
            this.deadlineMillis = Clock.millis() + call.deadlineMillis();
        }

        Answer answer(String body) {
            return new Answer(verdict, reason, tried.size(), body);
        }
    }

    /** A request that waits for a place, told apart by identity. */
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

    /** Starts as many waiting requests as there are places now. */
    void pump() {
        long now = Clock.millis();
        boolean more = true;
        while (more) {
            more = queue.startNext(parked -> resume(parked, now), now);
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
        long now = Clock.millis();
        long left = progress.deadlineMillis - now;
        if (left <= 0) {
            progress.reason = Reason.DEADLINE;
            return Uni.createFrom().item(progress.answer(""));
        }
        // A place that is free now is one that none of those who wait could take.
        Optional<Upstream> chosen = choose(progress, now);
        if (chosen.isPresent()) {
            return send(progress, chosen.get());
        }
        boolean full = chooser.hasUsableUpstream(site -> isGranted(progress, site), progress.tried, now);
        return full ? park(progress, left, now) : Uni.createFrom().item(progress.answer(""));
    }

    private Optional<Upstream> choose(Progress progress, long nowMillis) {
        return chooser.choose(site -> isGranted(progress, site), progress.tried, nowMillis, random);
    }

    /** Waits for a place until the deadline, by turns of the organisations. */
    private Uni<Answer> park(Progress progress, long leftMillis, long nowMillis) {
        OrganisationId organisation = progress.call.organisation();
        int weight = config.get().plan(organisation).map(Plan::weight).orElse(1);
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            Parked parked = new Parked(progress, emitter);
                            boolean waits =
                                    queue.offer(
                                            organisation, weight, parked, leftMillis, nowMillis);
                            if (!waits) {
                                progress.reason = Reason.OVERLOADED;
                                emitter.complete(progress.answer(""));
                                return;
                            }
                            timers.pause(leftMillis).subscribe().with(done -> expire(parked));
                            pump();
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
        long left = Math.max(1, progress.deadlineMillis - Clock.millis());
        Optional<Endpoint> endpoint = endpoints.apply(upstream.worker());
        if (endpoint.isEmpty()) {
            String why = "worker " + upstream.worker() + " isn't listed";
            return failed(progress, upstream, new PlatformException(Verdict.NOT_RUN, why));
        }
        String attempt = progress.requestId + "-" + progress.tried.size();
        return client.run(endpoint.get(), attempt, progress.call.payload(), left)
                .map(body -> ran(progress, upstream, body))
                .onFailure()
                .recoverWithUni(failure -> failed(progress, upstream, failure));
    }

    private boolean isGranted(Progress progress, DataCentreId site) {
        return config.get().isGranted(progress.call.organisation(), site);
    }

    private Answer ran(Progress progress, Upstream upstream, String body) {
        if (upstream.breaker().isEjected()) {
            events.publish(EventType.WORKER_RESTORED, upstream.worker().value(), "requests");
        }
        chooser.release(upstream, true, Clock.millis());
        pump();
        progress.verdict = Verdict.RAN;
        progress.reason = Reason.OK;
        return progress.answer(body);
    }

    private Uni<Answer> failed(Progress progress, Upstream upstream, Throwable failure) {
        String worker = upstream.worker().value();
        if (chooser.release(upstream, false, Clock.millis())) {
            events.publish(EventType.WORKER_QUARANTINED, worker, "requests");
        }
        pump();
        Verdict verdict = PlatformException.verdictOf(failure);
        events.publish(
                EventType.ATTEMPT_FAILED,
                progress.requestId,
                worker,
                verdict + " " + failure.getMessage());
        progress.verdict = progress.verdict.combine(verdict);
        progress.reason = verdict == Verdict.NOT_RUN ? Reason.UNREACHABLE : Reason.ANSWER_LOST;
        boolean again =
                progress.verdict.isRetryable(progress.call.idempotent()) && budget.tryRetry();
        return again ? attempt(progress) : Uni.createFrom().item(progress.answer(""));
    }
}
