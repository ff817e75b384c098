package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.RetryBudget;
import io.cardamomshelf.core.request.Upstream;
import io.cardamomshelf.core.request.UpstreamChooser;
import io.cardamomshelf.core.request.Verdict;
import io.cardamomshelf.platform.Endpoint;
import io.cardamomshelf.platform.PlatformException;
import io.cardamomshelf.platform.UpstreamClient;
import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends a request to one upstream after another until it has run, or may not be tried again.
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

    AttemptLoop(
            UpstreamChooser chooser,
            UpstreamClient client,
            Function<WorkerId, Optional<Endpoint>> endpoints,
            Supplier<ConfigState> config,
            RetryBudget budget,
            Events events,
            RandomGenerator random) {
        this.chooser = chooser;
        this.client = client;
        this.endpoints = endpoints;
        this.config = config;
        this.budget = budget;
        this.events = events;
        this.random = random;
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

    /**
     * Runs a request.
     *
     * @return the answer; never fails
     */
    Uni<Answer> run(String requestId, RequestCall call) {
        budget.plusRequest();
        return attempt(new Progress(requestId, call));
    }

    private Uni<Answer> attempt(Progress progress) {
        long now = Clock.millis();
        long left = progress.deadlineMillis - now;
        if (left <= 0) {
            progress.reason = Reason.DEADLINE;
            return Uni.createFrom().item(progress.answer(""));
        }
        Optional<Upstream> chosen =
                chooser.choose(site -> isGranted(progress, site), progress.tried, now, random);
        Optional<Endpoint> endpoint = chosen.flatMap(u -> endpoints.apply(u.worker()));
        if (endpoint.isEmpty()) {
            chosen.ifPresent(upstream -> upstream.limit().release(true));
            return Uni.createFrom().item(progress.answer(""));
        }
        Upstream upstream = chosen.get();
        progress.tried.add(upstream.worker());
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
        progress.verdict = Verdict.RAN;
        progress.reason = Reason.OK;
        return progress.answer(body);
    }

    private Uni<Answer> failed(Progress progress, Upstream upstream, Throwable failure) {
        String worker = upstream.worker().value();
        if (chooser.release(upstream, false, Clock.millis())) {
            events.publish(EventType.WORKER_QUARANTINED, worker, "requests");
        }
        Verdict verdict = PlatformException.verdictOf(failure);
        events.publish(
                EventType.ATTEMPT_FAILED,
                progress.requestId,
                worker,
                verdict + " " + failure.getMessage());
        progress.verdict = progress.verdict.with(verdict);
        progress.reason = verdict == Verdict.NOT_RUN ? Reason.UNREACHABLE : Reason.ANSWER_LOST;
        boolean again =
                progress.verdict.isRetryable(progress.call.idempotent()) && budget.tryRetry();
        return again ? attempt(progress) : Uni.createFrom().item(progress.answer(""));
    }
}
