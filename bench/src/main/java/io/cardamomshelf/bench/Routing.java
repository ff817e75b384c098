package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.request.RetryBudget;
import io.cardamomshelf.core.request.Upstream;
import io.cardamomshelf.core.request.UpstreamChooser;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates requests to upstreams on a virtual clock, where some upstreams fail every request
 * immediately. Upstreams are chosen either by the product or, as a baseline, at random.
 *
 * <p>Use: {@code Routing.run(Routing.Choice.PRODUCT, 2, seed)}.
 */
final class Routing {

    /** How an upstream is chosen. */
    enum Choice {
        /** By {@link UpstreamChooser}, as in the product. */
        PRODUCT,
        /** At random among the upstreams not tried yet, with retries as the budget allows. */
        RANDOM
    }

    /**
     * The measurements of one simulation.
     *
     * @param attemptsPerRequest the average number of attempts for each request
     * @param failedShare the share of requests that never ran, 0 to 1
     * @param untouchedP99Micros the 99th percentile of the time taken by requests that met no
     *     failing upstream, in microseconds
     */
    record Result(double attemptsPerRequest, double failedShare, long untouchedP99Micros) {}

    private static final DataCentreId DATA_CENTRE = DataCentreId.of("site-0");
    private static final int UPSTREAMS = 30;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int REQUESTS = 60_000;
    private static final int REQUESTS_PER_SECOND = 3_000;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int MICROS_PER_MILLISECOND = 1_000;
    private static final int MIN_SERVICE_MICROS = 20_000;
    private static final int SERVICE_SPREAD_MICROS = 40_000;
    private static final int FAILED_ATTEMPT_MICROS = 1_000;
    private static final int RETRY_PERCENT = 10;
    private static final int RETRY_RESERVE = 10;

    private static final class Request {
        private final long sentMicros;
        private final int serviceMicros;
        private final Set<WorkerId> tried = new HashSet<>();
        private boolean metFailingUpstream;

        Request(long sentMicros, int serviceMicros) {
            this.sentMicros = sentMicros;
            this.serviceMicros = serviceMicros;
        }
    }

    private record AttemptEnd(long atMicros, Request request, Upstream upstream) {}

    private final Choice choice;
    private final Set<WorkerId> failingUpstreams = new HashSet<>();
    private final Random random;
    private final UpstreamChooser chooser =
            new UpstreamChooser(DATA_CENTRE, "region-0", MAX_IN_FLIGHT);
    private final RetryBudget budget = new RetryBudget(RETRY_PERCENT, RETRY_RESERVE);
    private final PriorityQueue<AttemptEnd> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMicros(), b.atMicros()));
    private final List<Long> untouchedMicros = new ArrayList<>();
    private long attempts;
    private long failedRequests;

    private Routing(Choice choice, int failingCount, long seed) {
        this.choice = choice;
        this.random = new Random(seed);
        for (int index = 0; index < UPSTREAMS; index++) {
            WorkerId worker = WorkerId.of("w-" + index);
            chooser.put(worker, DATA_CENTRE, "region-0", false);
            if (index < failingCount) {
                failingUpstreams.add(worker);
            }
        }
    }

    /** Simulates 60,000 requests, at about half of the rate that the upstreams can serve. */
    static Result run(Choice choice, int failingCount, long seed) {
        return new Routing(choice, failingCount, seed).run();
    }

    private Result run() {
        double nowMicros = 0;
        for (int number = 0; number < REQUESTS; number++) {
            nowMicros -=
                    Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / REQUESTS_PER_SECOND;
            endAttemptsUntil((long) nowMicros);
            budget.recordRequest();
            int serviceMicros = MIN_SERVICE_MICROS + random.nextInt(SERVICE_SPREAD_MICROS);
            startAttempt(new Request((long) nowMicros, serviceMicros), (long) nowMicros);
        }
        endAttemptsUntil(Long.MAX_VALUE);
        long[] sortedMicros =
                untouchedMicros.stream().mapToLong(Long::longValue).sorted().toArray();
        return new Result(
                attempts / (double) REQUESTS,
                failedRequests / (double) REQUESTS,
                sortedMicros[(sortedMicros.length - 1) * 99 / 100]);
    }

    private void startAttempt(Request request, long nowMicros) {
        Optional<Upstream> chosen = choose(request, nowMicros);
        if (chosen.isEmpty()) {
            failedRequests++;
            return;
        }
        attempts++;
        Upstream upstream = chosen.get();
        request.tried.add(upstream.worker());
        boolean fails = failingUpstreams.contains(upstream.worker());
        request.metFailingUpstream |= fails;
        int durationMicros = fails ? FAILED_ATTEMPT_MICROS : request.serviceMicros;
        ends.add(new AttemptEnd(nowMicros + durationMicros, request, upstream));
    }

    private Optional<Upstream> choose(Request request, long nowMicros) {
        if (choice == Choice.PRODUCT) {
            return chooser.choose(
                    dataCentre -> true, request.tried, nowMicros / MICROS_PER_MILLISECOND, random);
        }
        List<Upstream> untried = new ArrayList<>(chooser.upstreams());
        untried.removeIf(upstream -> request.tried.contains(upstream.worker()));
        return Optional.of(untried.get(random.nextInt(untried.size())));
    }

    private void endAttemptsUntil(long nowMicros) {
        while (!ends.isEmpty() && ends.peek().atMicros() <= nowMicros) {
            endAttempt(ends.poll());
        }
    }

    private void endAttempt(AttemptEnd end) {
        boolean success = !failingUpstreams.contains(end.upstream().worker());
        if (choice == Choice.PRODUCT) {
            chooser.release(end.upstream(), success, end.atMicros() / MICROS_PER_MILLISECOND);
        }
        if (!success && budget.tryRetry()) {
            startAttempt(end.request(), end.atMicros());
        } else if (!success) {
            failedRequests++;
        } else if (!end.request().metFailingUpstream) {
            untouchedMicros.add(end.atMicros() - end.request().sentMicros);
        }
    }
}
