package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests random faults of a larger fleet: processes that are paused alone, killed and started again
 * under their names, data centres that are cut off, registry entries and history that expire, and
 * elections that collide.
 *
 * <p>The system properties {@code fleet.seed} and {@code fleet.seeds} give the first seed and the
 * number of seeds of a longer run.
 */
class FleetFuzzTest extends SchedulingFixture {

    private static final long FIRST_SEED = Long.getLong("fleet.seed", 1);
    private static final long SEEDS = Long.getLong("fleet.seeds", 12);

    private static final int WORKER_COUNT = 24;
    private static final String[] WORKERS =
            IntStream.range(0, WORKER_COUNT).mapToObj(i -> "w" + i).toArray(String[]::new);
    private static final int PROCESS_COUNT = 4;
    private static final long SIMULATED_MILLIS = 50_000;
    private static final int MAX_JOBS = 40;
    private static final int MAX_SIZE = 4;
    private static final int ROOM = 8;

    /** After so long without contact a worker's entry leaves the registry, in milliseconds. */
    private static final long EXPIRY_MILLIS = 4_500;

    /** Longer than a successor waits for leases that it can't ask about, in milliseconds. */
    private static final long RECOVERY_MILLIS = 45_000;

    private final List<JobId> jobs = new ArrayList<>();
    private final Map<JobId, Integer> sizes = new HashMap<>();
    private final List<String> overloads = new ArrayList<>();
    private final Process[] processes = new Process[PROCESS_COUNT];
    private Random random;
    private boolean cut;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    private void simulate(long seed) {
        random = new Random(seed);
        workers.onStart = this::recordOverloads;
        setStateKept(10 * SIMULATED_MILLIS);
        store.pageSize = 7;
        storeConfigurationAndWorkers(WORKERS);
        boolean collide = random.nextInt(4) == 0;
        for (int i = 0; i < PROCESS_COUNT; i++) {
            Random own = new Random(collide ? seed : random.nextLong());
            processes[i] = new Process("p" + i, 1, own);
        }
        long endMillis = time.monotonicMillis() + SIMULATED_MILLIS;
        while (time.monotonicMillis() < endMillis) {
            time.advance(random.nextInt(500));
            performRandomAction();
        }
        recover();
    }

    private void recordOverloads() {
        workers.running()
                .forEach(
                        (worker, tasks) -> {
                            if (tasks.stream().mapToInt(t -> sizes.get(t.job())).sum() > ROOM) {
                                overloads.add(worker + " at " + time.monotonicMillis());
                            }
                        });
    }

    private void performRandomAction() {
        switch (random.nextInt(20)) {
            case 0, 1, 2, 3, 4, 5 -> submitJob();
            case 6, 7, 8, 9 ->
                    finishRandomRun(random.nextInt(4) == 0 ? RunEnd.FAILED : RunEnd.DONE);
            case 10 -> toggleConnection();
            case 11 -> randomProcess().ownTime.pause(200 + random.nextInt(8_000));
            case 12 -> restart(random.nextInt(PROCESS_COUNT));
            case 13 -> randomProcess().links.disconnectStore();
            case 14 -> randomProcess().links.reconnectAll();
            case 15 -> cutDataCentre();
            case 16 -> expireEntries();
            case 17 -> store.dropHistory(Stream.JOBS);
            case 18 -> disturbStore();
            default -> store.fault = Fault.NONE;
        }
    }

    private Process randomProcess() {
        return processes[random.nextInt(PROCESS_COUNT)];
    }

    private void submitJob() {
        if (jobs.size() < MAX_JOBS) {
            JobId id = JobId.of(String.format("%016x", 0xf00 + jobs.size()));
            int size = 1 + random.nextInt(MAX_SIZE);
            jobs.add(id);
            sizes.put(id, size);
            submit(id, 1 + random.nextInt(3), size, random.nextInt(4) == 0);
        }
    }

    private void disturbStore() {
        store.fault = Fault.values()[random.nextInt(Fault.values().length)];
        store.lateAppendMillis = random.nextInt(6_000);
        store.appendMillis = 4 + random.nextInt(400);
    }

    /**
     * Ends a process, and starts another one under its name. The old one may still live for some
     * seconds, paused or cut off from the store.
     */
    private void restart(int index) {
        Process old = processes[index];
        switch (random.nextInt(4)) {
            case 0 -> old.ownTime.kill();
            case 1 -> old.ownTime.pause(random.nextInt(6_000));
            case 2 -> old.links.disconnectStore();
            default -> {
                old.candidate.resign().subscribe().with(done -> old.ownTime.kill());
                time.advance(random.nextInt(1_500));
            }
        }
        time.after(random.nextInt(8_000), old.ownTime::kill);
        processes[index] = new Process("p" + index, 1, new Random(random.nextLong()));
    }

    /** Cuts a process and some workers off from all others and from the store for some time. */
    private void cutDataCentre() {
        if (cut) {
            return;
        }
        cut = true;
        Process inside = randomProcess();
        List<String> names = new ArrayList<>(List.of(WORKERS));
        Collections.shuffle(names, random);
        int insideCount = 1 + random.nextInt(WORKER_COUNT - 1);
        List<String> insideWorkers = List.copyOf(names.subList(0, insideCount));
        inside.links.disconnectStore();
        names.subList(insideCount, WORKER_COUNT).forEach(inside.links::disconnectWorker);
        for (Process process : processes) {
            if (process != inside) {
                insideWorkers.forEach(process.links::disconnectWorker);
            }
        }
        time.after(EXPIRY_MILLIS, () -> insideWorkers.forEach(this::unregister));
        time.after(
                6_000 + random.nextInt(30_000),
                () -> {
                    cut = false;
                    for (Process process : processes) {
                        process.links.reconnectAll();
                    }
                    insideWorkers.forEach(this::register);
                });
    }

    /** Lets all entries expire, as during an outage of the store; they come back soon. */
    private void expireEntries() {
        for (String name : WORKERS) {
            unregister(name);
            time.after(random.nextInt(2_500), () -> register(name));
        }
    }

    private void unregister(String name) {
        store.write(Stream.WORKERS, StoredRecord.tombstone(name));
    }

    private void toggleConnection() {
        WorkerId worker = WorkerId.of(WORKERS[random.nextInt(WORKER_COUNT)]);
        if (!workers.disconnected.remove(worker)) {
            workers.disconnected.add(worker);
        }
    }

    private void finishRandomRun(RunEnd end) {
        List<Runnable> ends = new ArrayList<>();
        workers.running()
                .forEach(
                        (worker, tasks) ->
                                tasks.stream()
                                        .sorted((a, b) -> a.toString().compareTo(b.toString()))
                                        .forEach(
                                                task -> ends.add(() -> finish(worker, task, end))));
        if (!ends.isEmpty()) {
            ends.get(random.nextInt(ends.size())).run();
        }
    }

    /** Ends a task and the other members of its gang, which have the same run number. */
    private void finish(WorkerId worker, TaskId endedTask, RunEnd end) {
        long run = workers.worker(worker.value()).running.get(endedTask);
        RunEnd endOfOthers = end == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
        workers.running()
                .forEach(
                        (host, tasks) ->
                                tasks.stream()
                                        .filter(task -> task.job().equals(endedTask.job()))
                                        .filter(task -> runOf(host, task) == run)
                                        .forEach(
                                                task ->
                                                        workers.finish(
                                                                host.value(),
                                                                task,
                                                                task.equals(endedTask)
                                                                        ? end
                                                                        : endOfOthers)));
    }

    private long runOf(WorkerId host, TaskId task) {
        return workers.worker(host.value()).running.get(task);
    }

    /** Ends all faults, and finishes runs until every job has ended. */
    private void recover() {
        store.fault = Fault.NONE;
        store.appendMillis = 4;
        workers.disconnected.clear();
        for (Process process : processes) {
            process.links.reconnectAll();
        }
        time.advance(RECOVERY_MILLIS);
        for (int i = 0; i < 5 * MAX_JOBS && !processes[0].unendedOf(jobs).isEmpty(); i++) {
            finishRandomRun(RunEnd.DONE);
            finishRandomRun(RunEnd.DONE);
            time.advance(500);
        }
    }

    @Nested
    class RandomFaults {

        @ParameterizedTest
        @MethodSource("io.cardamomshelf.node.schedule.FleetFuzzTest#seeds")
        void causeNeitherSecondRunsNorOverloadsNorUnendedJobs(long seed) {
            simulate(seed);
            assertEquals(List.of(), workers.overlaps);
            assertEquals(List.of(), workers.repeats);
            assertEquals(List.of(), overloads);
            assertEquals(List.of(), processes[0].unendedOf(jobs));
        }
    }
}
