package io.cardamomshelf.sessions;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The clients of a soak: they submit jobs, at times twice, ask for their states and cancel some.
 *
 * <p>Connections stay open until the instance's process has gone. Thread-safe.
 */
final class SoakClients implements AutoCloseable {

    private static final int THREADS = 24;
    private static final long TIMEOUT_SECONDS = 5;
    private static final long RETRY_MILLIS = 700;
    private static final long POLL_MILLIS = 1_500;
    private static final int MAX_ATTEMPTS = 30;
    private static final int MAX_REJECTIONS = 5;
    private static final int ACCELERATORS_PER_WORKER = 8;

    /** The share of all accelerators that the jobs keep busy. */
    private static final double LOAD = 0.4;

    /** The accelerators times seconds of a job of this mix, on average. */
    private static final double MEAN_ACCELERATOR_SECONDS = 47;

    private static final double CANCELLED_SHARE = 0.08;
    private static final double REPEATED_SHARE = 0.15;
    private static final double FAILING_SHARE = 0.03;
    private static final Pattern STATE = Pattern.compile("\"state\":\"(\\w+)\"");

    private final SoakDeployment deployment;
    private final SoakHistory history;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService pool = Executors.newScheduledThreadPool(THREADS);
    private final long seed;
    private final Random jobs;
    private int count;
    private volatile boolean isSubmitting = true;

    SoakClients(SoakDeployment deployment, SoakHistory history, long seed) {
        this.deployment = deployment;
        this.history = history;
        this.seed = seed;
        this.jobs = new Random(seed);
    }

    void start() {
        pool.execute(this::submitNext);
    }

    /** Submits no more jobs; the states of those submitted are asked for until {@code close}. */
    void stopSubmitting() {
        isSubmitting = false;
    }

    private void submitNext() {
        if (!isSubmitting) {
            return;
        }
        SoakJob job = nextJob();
        Random choices = new Random(seed + count);
        history.add(job);
        pool.execute(() -> submit(job, choices, 0, 0));
        double accelerators = LOAD * ACCELERATORS_PER_WORKER * deployment.workers();
        long meanMillis = (long) (1_000 * MEAN_ACCELERATOR_SECONDS / accelerators);
        after(meanMillis / 2 + jobs.nextInt((int) meanMillis + 1), this::submitNext);
    }

    private SoakJob nextJob() {
        String id = String.format("%08x%08x", (int) seed, ++count);
        boolean isFailing = jobs.nextDouble() < FAILING_SHARE;
        int accelerators = 1 + jobs.nextInt(4);
        double kind = jobs.nextDouble();
        if (kind < 0.26) {
            return new SoakJob(id, "low", 5, accelerators, 20_000, 5_800, true, isFailing);
        } else if (kind < 0.75) {
            int members = 3 + jobs.nextInt(2);
            return new SoakJob(id, "urgent", members, accelerators, 15_000, 2_200, true, isFailing);
        }
        return new SoakJob(id, "low", 12 + jobs.nextInt(5), 1, 11_000, 5_200, false, isFailing);
    }

    private void submit(SoakJob job, Random choices, int attempt, int rejections) {
        SoakEvent.Call call = call(choices, "POST", job);
        if (call.isSuccess()) {
            if (choices.nextDouble() < REPEATED_SHARE) {
                after(choices.nextInt(4_000), () -> call(choices, "POST", job));
            }
            if (choices.nextDouble() < CANCELLED_SHARE) {
                after(choices.nextInt(6_000), () -> cancel(job, choices));
            }
            after(POLL_MILLIS, () -> poll(job, choices));
            return;
        }
        int rejected = rejections + (call.isRejected() ? 1 : 0);
        if (attempt < MAX_ATTEMPTS && rejected < MAX_REJECTIONS) {
            after(RETRY_MILLIS, () -> submit(job, choices, attempt + 1, rejected));
        }
    }

    private void cancel(SoakJob job, Random choices) {
        SoakEvent.Call call = call(choices, "DELETE", job);
        if (!call.isSuccess()) {
            after(RETRY_MILLIS, () -> cancel(job, choices));
        }
    }

    private void poll(SoakJob job, Random choices) {
        SoakEvent.Call call = call(choices, "GET", job);
        boolean isEnded = !call.state().isEmpty() && !call.state().matches("queued|running");
        if (!isEnded) {
            after(POLL_MILLIS, () -> poll(job, choices));
        }
    }

    private SoakEvent.Call call(Random choices, String method, SoakJob job) {
        int instance = choices.nextInt(SoakDeployment.INSTANCES);
        long sentAt = System.currentTimeMillis();
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + deployment.callersAddress(instance)
                                                + job.path()))
                        .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                        .header("Api-Key", SoakDeployment.KEY)
                        .method(
                                method,
                                method.equals("POST")
                                        ? HttpRequest.BodyPublishers.ofString(job.body())
                                        : HttpRequest.BodyPublishers.noBody())
                        .build();
        int status = 0;
        String state = "";
        String failure = "";
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            status = response.statusCode();
            Matcher matcher = STATE.matcher(response.body());
            state = matcher.find() ? matcher.group(1) : "";
        } catch (IOException e) {
            failure = e.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        SoakEvent.Call call =
                new SoakEvent.Call(
                        sentAt,
                        System.currentTimeMillis(),
                        SoakDeployment.instanceName(instance),
                        method,
                        job.id(),
                        status,
                        state,
                        failure);
        if (!Thread.currentThread().isInterrupted()) {
            history.add(call);
        }
        return call;
    }

    private void after(long millis, Runnable step) {
        if (!pool.isShutdown()) {
            pool.schedule(step, millis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
