package io.cardamomshelf.sessions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Carries out the troubles of a soak; they may overlap.
 *
 * <p>Thread-safe.
 */
final class SoakInjector implements AutoCloseable {

    private static final long GRACE_SECONDS = 6;

    /** A step that may fail because another trouble has ended the process meanwhile. */
    private interface Step {
        void run() throws SessionException;
    }

    private final SoakDeployment deployment;
    private final SoakHistory history;
    private final Consumer<String> log;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /** Has a thread for each step, as steps wait for processes. */
    private final ExecutorService pool = Executors.newCachedThreadPool();

    SoakInjector(SoakDeployment deployment, SoakHistory history, Consumer<String> log) {
        this.deployment = deployment;
        this.history = history;
        this.log = log;
    }

    /** Starts to carry out troubles at their times from now on. */
    void start(List<SoakTrouble> troubles) {
        troubles.forEach(
                trouble ->
                        after(
                                trouble.atMillis(),
                                () -> attempt(trouble.toString(), () -> begin(trouble))));
    }

    private void attempt(String name, Step step) {
        try {
            step.run();
        } catch (SessionException | RuntimeException e) {
            log.accept(name + ": " + e.getMessage());
        }
    }

    private void begin(SoakTrouble trouble) throws SessionException {
        Set<Integer> targets = new TreeSet<>(trouble.targets());
        if (trouble.hitsScheduler() && trouble.kind().name().endsWith("INSTANCES")) {
            targets.add(scheduler());
        }
        log.accept(trouble + " hits " + targets);
        long length = trouble.lengthMillis();
        switch (trouble.kind()) {
            case KILL_INSTANCES -> targets.forEach(i -> kill(i, length));
            case TERMINATE_INSTANCES -> targets.forEach(i -> terminate(i, length));
            case FREEZE_INSTANCES -> targets.forEach(i -> freezeInstance(i, length));
            case CUT_INSTANCES -> cut(targets, Set.of(), trouble.detail(), length);
            case CUT_WORKERS -> cut(Set.of(), targets, trouble.detail(), length);
            case RESTART_WORKERS ->
                    targets.forEach(w -> workerCommand(w, "restart", "", length, trouble.detail()));
            case PAUSE_WORKERS -> targets.forEach(w -> workerCommand(w, "pause", "resume", length));
            case SICKEN_WORKERS ->
                    targets.forEach(w -> workerCommand(w, "unhealthy", "healthy", length));
            case KILL_GROUPS ->
                    targets.forEach(g -> killGroup(g, length, Long.parseLong(trouble.detail())));
            case FREEZE_GROUPS -> targets.forEach(g -> freezeGroup(g, length));
            case STORE_FAULT -> disturbStore(targets, trouble.detail(), length);
            case DELAY_CALLS -> delayCalls(targets, trouble, Set.of());
            case DELAY_CALLS_ACROSS_RESTART -> delayCalls(targets, trouble, targets);
            case POWER_LOSS -> losePower(length, Long.parseLong(trouble.detail()));
            default -> throw new IllegalArgumentException("no such kind: " + trouble.kind());
        }
    }

    /** Returns the instance that used the highest fencing token so far, as the workers saw it. */
    private int scheduler() {
        String address =
                history.events().stream()
                        .filter(SoakEvent.Called.class::isInstance)
                        .map(SoakEvent.Called.class::cast)
                        .max(Comparator.comparingLong(SoakEvent.Called::token))
                        .map(SoakEvent.Called::caller)
                        .orElse(SoakDeployment.sourceAddress(0));
        return IntStream.range(0, SoakDeployment.INSTANCES)
                .filter(i -> SoakDeployment.sourceAddress(i).equals(address))
                .findFirst()
                .orElse(0);
    }

    private void kill(int instance, long length) {
        Runnable calm = history.disrupt(SoakDeployment.instanceName(instance));
        ChildProcess process = deployment.instance(instance);
        process.kill();
        after(length, () -> restart(instance, process, calm));
    }

    private void terminate(int instance, long length) {
        Runnable calm = history.disrupt(SoakDeployment.instanceName(instance));
        ChildProcess process = deployment.instance(instance);
        attempt("TERM", () -> process.signal("TERM"));
        after(
                TimeUnit.SECONDS.toMillis(GRACE_SECONDS),
                () -> {
                    process.kill();
                    after(length, () -> restart(instance, process, calm));
                });
    }

    private void restart(int instance, ChildProcess killed, Runnable calm) {
        attempt(
                "restart of " + instance,
                () -> {
                    killed.awaitEnd();
                    deployment.startInstance(instance);
                    Wait.until(
                            "instance " + instance + " is ready or has ended",
                            () ->
                                    !deployment.instance(instance).isAlive()
                                            || deployment.isReady(instance));
                });
        calm.run();
    }

    private void freezeInstance(int instance, long length) {
        Runnable calm = history.disrupt(SoakDeployment.instanceName(instance));
        freeze(deployment.instance(instance), length, List.of(calm));
    }

    private void freezeGroup(int group, long length) {
        freeze(deployment.group(group), length, disruptWorkers(workersOf(group)));
    }

    private void freeze(ChildProcess process, long length, List<Runnable> calm) {
        attempt("STOP", () -> process.signal("STOP"));
        after(
                length,
                () -> {
                    attempt("CONT", () -> process.signal("CONT"));
                    calm.forEach(Runnable::run);
                });
    }

    private void killGroup(int group, long length, long clockOffset) {
        List<Runnable> calm = disruptWorkers(workersOf(group));
        attempt("kill of a group", () -> deployment.killGroup(group));
        after(
                length,
                () -> {
                    attempt("start of a group", () -> deployment.startGroup(group, clockOffset));
                    calm.forEach(Runnable::run);
                });
    }

    private void workerCommand(
            int worker, String verb, String undo, long length, Object... arguments) {
        List<Runnable> calm = disruptWorkers(Set.of(worker));
        attempt(verb, () -> deployment.command(SoakDeployment.workerName(worker), verb, arguments));
        after(
                length,
                () -> {
                    if (!undo.isEmpty()) {
                        attempt(
                                undo,
                                () -> deployment.command(SoakDeployment.workerName(worker), undo));
                    }
                    calm.forEach(Runnable::run);
                });
    }

    /**
     * Delays the calls to some workers. Those that are to restart do so halfway, and are cut off
     * from all instances once the delayed calls have arrived, for longer than their leases.
     */
    private void delayCalls(Set<Integer> workers, SoakTrouble trouble, Set<Integer> restarted) {
        long length = trouble.lengthMillis();
        long delay = Long.parseLong(trouble.detail());
        List<Runnable> calm = disruptWorkers(workers);
        workers.forEach(w -> attempt("delay", () -> command(w, "delay", delay)));
        after(
                length / 2,
                () -> restarted.forEach(w -> attempt("restart", () -> command(w, "restart", 0))));
        after(length, () -> workers.forEach(w -> attempt("prompt", () -> command(w, "prompt"))));
        after(
                length + delay,
                () -> {
                    if (restarted.isEmpty()) {
                        calm.forEach(Runnable::run);
                    } else {
                        cut(
                                Set.of(),
                                restarted,
                                SoakRelay.Fault.SILENT.name(),
                                SoakTrouble.CUT_MILLIS);
                        after(SoakTrouble.CUT_MILLIS, () -> calm.forEach(Runnable::run));
                    }
                });
    }

    private void command(int worker, String verb, Object... arguments) throws SessionException {
        deployment.command(SoakDeployment.workerName(worker), verb, arguments);
    }

    /**
     * Disturbs the relays of some instances to all workers, or of some workers to all instances.
     */
    private void cut(Set<Integer> instances, Set<Integer> workers, String fault, long length) {
        List<Runnable> calm = disruptWorkers(workers);
        instances.forEach(i -> calm.add(history.disrupt(SoakDeployment.instanceName(i))));
        setRelays(instances, workers, SoakRelay.Fault.valueOf(fault));
        after(
                length,
                () -> {
                    setRelays(instances, workers, SoakRelay.Fault.NONE);
                    calm.forEach(Runnable::run);
                });
    }

    private void setRelays(Set<Integer> instances, Set<Integer> workers, SoakRelay.Fault fault) {
        deployment.setRelayFault(
                i -> instances.isEmpty() || instances.contains(i),
                w -> workers.isEmpty() || workers.contains(w),
                fault);
    }

    private void disturbStore(Set<Integer> callers, String fault, long length) {
        List<Runnable> calm = new ArrayList<>();
        if (callers.size() == SoakDeployment.INSTANCES) {
            calm.add(history.disrupt("store"));
        }
        callers.forEach(i -> calm.add(history.disrupt(SoakDeployment.instanceName(i))));
        setStore(callers, fault);
        after(
                length,
                () -> {
                    setStore(callers, "none");
                    calm.forEach(Runnable::run);
                });
    }

    private void setStore(Set<Integer> callers, String fault) {
        callers.forEach(i -> attempt(fault, () -> deployment.setStoreFault(i, fault)));
    }

    private void losePower(long length, long clockOffset) {
        IntStream.range(0, SoakDeployment.INSTANCES).forEach(i -> kill(i, length));
        IntStream.range(0, deployment.groups())
                .parallel()
                .forEach(group -> killGroup(group, length, clockOffset));
    }

    private Set<Integer> workersOf(int group) {
        return new TreeSet<>(deployment.workersOf(group).boxed().toList());
    }

    private List<Runnable> disruptWorkers(Set<Integer> workers) {
        List<Runnable> calm = new ArrayList<>();
        workers.forEach(w -> calm.add(history.disrupt(SoakDeployment.workerName(w))));
        return calm;
    }

    private void after(long millis, Runnable step) {
        if (!timer.isShutdown()) {
            timer.schedule(() -> pool.execute(step), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends what may be left of all troubles, as overlapping ones may leave something behind. */
    void healAll() throws SessionException {
        setStore(pickAll(SoakDeployment.INSTANCES), "none");
        setRelays(Set.of(), Set.of(), SoakRelay.Fault.NONE);
        for (int group = 0; group < deployment.groups(); group++) {
            attempt("CONT", deployment.group(group), "CONT");
            deployment.startGroup(group, 0);
        }
        for (int i = 0; i < SoakDeployment.INSTANCES; i++) {
            attempt("CONT", deployment.instance(i), "CONT");
            deployment.startInstance(i);
        }
        for (int worker = 0; worker < deployment.workers(); worker++) {
            deployment.command(SoakDeployment.workerName(worker), "healthy");
            deployment.command(SoakDeployment.workerName(worker), "prompt");
            deployment.command(SoakDeployment.workerName(worker), "resume");
        }
    }

    private void attempt(String name, ChildProcess process, String signal) {
        if (process.isAlive()) {
            attempt(name, () -> process.signal(signal));
        }
    }

    private static Set<Integer> pickAll(int bound) {
        return new TreeSet<>(IntStream.range(0, bound).boxed().toList());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
