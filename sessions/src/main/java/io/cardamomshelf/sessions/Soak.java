package io.cardamomshelf.sessions;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One run of the soak: starts the real programs, disturbs them while clients submit jobs, and
 * checks the rules from what clients and workers see.
 *
 * <p>Not thread-safe; use it once.
 */
final class Soak {

    /**
     * What a run is made of.
     *
     * @param seed decides the jobs and the troubles
     * @param seconds how long troubles go on
     * @param workers the number of workers
     * @param isTimed whether rules with a bound in time are checked
     */
    record Plan(long seed, int seconds, int workers, boolean isTimed) {}

    /** The outcome of a run. */
    record Result(List<SoakJudge.Violation> violations, String counts) {}

    private static final long LEAD_MILLIS = 5_000;
    private static final long TAIL_MILLIS = 2_000;
    private static final long CHECK_INTERVAL_MILLIS = 2_000;
    private static final long STALL_CHECK_MILLIS = 50;
    private static final long MAX_STALL_MILLIS = 1_000;

    /** How long after all troubles every accepted job must have ended. */
    private static final long END_BOUND_MILLIS = 45_000;

    /** The same for a run whose verdict has no bound in time: only a standstill reaches it. */
    private static final long STANDSTILL_MILLIS = 600_000;

    /** How far a check of a run lags behind, so that all processes' events have arrived. */
    private static final long EVENT_LAG_MILLIS = 2_000;

    private final Plan plan;
    private final Path folder;
    private final Consumer<String> out;
    private final SoakHistory history = new SoakHistory();
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates a run.
     *
     * @param plan what it is made of, not null
     * @param folder an existing folder for logs and settings, not null
     * @param out receives lines on its progress, not null
     */
    Soak(Plan plan, Path folder, Consumer<String> out) {
        this.plan = plan;
        this.folder = folder;
        this.out = out;
    }

    /** Runs it; throws an exception if it can't run. */
    Result run() throws SessionException {
        Thread stalls = new Thread(this::watchForStalls);
        stalls.setDaemon(true);
        try (SoakDeployment deployment = SoakDeployment.start(folder, plan.workers(), history);
                SoakClients clients = new SoakClients(deployment, history, plan.seed());
                SoakInjector injector = new SoakInjector(deployment, history, this::log)) {
            stalls.start();
            clients.start();
            check(LEAD_MILLIS);
            long spanMillis = plan.seconds() * 1_000L;
            injector.start(
                    SoakTrouble.draw(plan.seed(), spanMillis, plan.workers(), deployment.groups()));
            check(spanMillis);
            injector.healAll();
            check(TAIL_MILLIS);
            clients.stopSubmitting();
            log("all troubles have ended");
            awaitEnds();
            SoakJudge judge = new SoakJudge(history.jobs(), plan.isTimed());
            Result result = new Result(judge.judge(history.events(), true), judge.counts());
            history.writeTo(folder.resolve("events.txt"));
            result.violations().forEach(violation -> log(violation.toString()));
            log(result.counts());
            return result;
        } finally {
            stalls.interrupt();
        }
    }

    /** Notes when this process stands still: no bound in time can be judged by its clock then. */
    private void watchForStalls() {
        long last = System.currentTimeMillis();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Thread.sleep(STALL_CHECK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.currentTimeMillis();
            if (now - last > MAX_STALL_MILLIS) {
                log("this process stood still for " + (now - last) + " ms");
                history.add(new SoakEvent.Disruption(last, now, "store"));
            }
            last = now;
        }
    }

    /** Lets time pass, checking the rules meanwhile. */
    private void check(long millis) throws SessionException {
        long end = System.currentTimeMillis() + millis;
        for (long left = millis; left > 0; left = end - System.currentTimeMillis()) {
            pause(Math.min(left, CHECK_INTERVAL_MILLIS));
            checkNow();
        }
    }

    private void checkNow() {
        long until = System.currentTimeMillis() - EVENT_LAG_MILLIS;
        List<SoakEvent> events =
                history.events().stream().filter(event -> event.at() <= until).toList();
        for (SoakJudge.Violation violation :
                new SoakJudge(history.jobs(), plan.isTimed()).judge(events, false)) {
            if (reported.add(violation.toString())) {
                log("seen: " + violation);
            }
        }
    }

    private void awaitEnds() throws SessionException {
        long deadline =
                System.currentTimeMillis()
                        + (plan.isTimed() ? END_BOUND_MILLIS : STANDSTILL_MILLIS);
        while (System.currentTimeMillis() < deadline && !isAllEnded()) {
            pause(CHECK_INTERVAL_MILLIS);
        }
    }

    private boolean isAllEnded() {
        return new SoakJudge(history.jobs(), plan.isTimed())
                .judge(history.events(), true).stream()
                        .noneMatch(violation -> violation.rule().equals("LOST"));
    }

    private static void pause(long millis) throws SessionException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }

    private synchronized void log(String line) {
        String text = System.currentTimeMillis() + " " + line;
        out.accept(text);
        try {
            Files.writeString(
                    folder.resolve("soak.log"),
                    text + System.lineSeparator(),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            out.accept("can't write soak.log: " + e);
        }
    }
}
