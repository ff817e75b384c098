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
 * Sends requests through the product's choice of upstreams on a virtual clock, with some upstreams
 * that fail all at once, beside a choice at random.
 *
 * <p>Use: {@code Routing.run(Routing.Choice.PRODUCT, 2, seed)}.
 */
final class Routing {

    /** How an upstream is chosen. */
    enum Choice {
        /** The product's own classes. */
        PRODUCT,
        /** Any upstream, as often as the budget allows. */
        RANDOM
    }

    /**
     * What a run measured.
     *
     * @param attempts attempts for each request
     * @param failed the share of requests that never ran
     * @param untouchedP99 the 99th percentile of the time of requests that met no failing upstream,
     *     in microseconds
     */
    record Result(double attempts, double failed, long untouchedP99) {}

    private static final DataCentreId SITE = DataCentreId.of("site-0");
    private static final int UPSTREAMS = 30;
    private static final int PLACES = 8;
    private static final int REQUESTS = 60_000;
    private static final int REQUESTS_A_SECOND = 3_000;
    private static final int SECOND_MICROS = 1_000_000;
    private static final int MILLI_MICROS = 1_000;
    private static final int SHORTEST_MICROS = 20_000;
    private static final int SPREAD_MICROS = 40_000;
    private static final int FAILURE_MICROS = 1_000;
    private static final int RETRY_PERCENT = 10;
    private static final int RETRY_RESERVE = 10;

    private static final class Request {
        private final long sentMicros;
        private final int serviceMicros;
        private final Set<WorkerId> tried = new HashSet<>();
        private boolean touched;

        Request(long sentMicros, int serviceMicros) {
            this.sentMicros = sentMicros;
            this.serviceMicros = serviceMicros;
        }
    }

    private record End(long atMicros, Request request, Upstream upstream) {}

    private final Choice choice;
    private final Set<WorkerId> failing = new HashSet<>();
    private final Random random;
    private final UpstreamChooser chooser = new UpstreamChooser(SITE, "region-0", PLACES);
    private final RetryBudget budget = new RetryBudget(RETRY_PERCENT, RETRY_RESERVE);
    private final PriorityQueue<End> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMicros(), b.atMicros()));
    private final List<Long> untouched = new ArrayList<>();
    private long attempts;
    private long failed;

    private Routing(Choice choice, int failingUpstreams, long seed) {
        this.choice = choice;
        this.random = new Random(seed);
        for (int index = 0; index < UPSTREAMS; index++) {
            WorkerId worker = WorkerId.of("w-" + index);
            chooser.put(worker, SITE, "region-0", false);
            if (index < failingUpstreams) {
                failing.add(worker);
            }
        }
    }

    /** Runs 60,000 requests at about half of what the upstreams can do. */
    static Result run(Choice choice, int failingUpstreams, long seed) {
        return new Routing(choice, failingUpstreams, seed).run();
    }

    private Result run() {
        double nowMicros = 0;
        for (int number = 0; number < REQUESTS; number++) {
            nowMicros -= Math.log(1 - random.nextDouble()) * SECOND_MICROS / REQUESTS_A_SECOND;
            endUntil((long) nowMicros);
            budget.recordRequest();
            int service = SHORTEST_MICROS + random.nextInt(SPREAD_MICROS);
            attempt(new Request((long) nowMicros, service), (long) nowMicros);
        }
        endUntil(Long.MAX_VALUE);
        long[] times = untouched.stream().mapToLong(Long::longValue).sorted().toArray();
        return new Result(
                attempts / (double) REQUESTS,
                failed / (double) REQUESTS,
                times[(times.length - 1) * 99 / 100]);
    }

    private void attempt(Request request, long nowMicros) {
        Optional<Upstream> chosen = choose(request, nowMicros);
        if (chosen.isEmpty()) {
            failed++;
            return;
        }
        attempts++;
        Upstream upstream = chosen.get();
        request.tried.add(upstream.worker());
        boolean fails = failing.contains(upstream.worker());
        request.touched |= fails;
        int takes = fails ? FAILURE_MICROS : request.serviceMicros;
        ends.add(new End(nowMicros + takes, request, upstream));
    }

    private Optional<Upstream> choose(Request request, long nowMicros) {
        if (choice == Choice.PRODUCT) {
            return chooser.choose(site -> true, request.tried, nowMicros / MILLI_MICROS, random);
        }
        List<Upstream> all = new ArrayList<>(chooser.upstreams());
        all.removeIf(upstream -> request.tried.contains(upstream.worker()));
        return Optional.of(all.get(random.nextInt(all.size())));
    }

    private void endUntil(long nowMicros) {
        while (!ends.isEmpty() && ends.peek().atMicros() <= nowMicros) {
            end(ends.poll());
        }
    }

    private void end(End end) {
        boolean success = !failing.contains(end.upstream().worker());
        if (choice == Choice.PRODUCT) {
            chooser.release(end.upstream(), success, end.atMicros() / MILLI_MICROS);
        }
        if (!success && budget.tryRetry()) {
            attempt(end.request(), end.atMicros());
        } else if (!success) {
            failed++;
        } else if (!end.request().touched) {
            untouched.add(end.atMicros() - end.request().sentMicros);
        }
    }
}
