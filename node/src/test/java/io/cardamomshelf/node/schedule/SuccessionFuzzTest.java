package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Trouble;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Schedulers that die, resign or lose the store, workers that fall silent, in random order. */
class SuccessionFuzzTest extends SchedulingFixture {

    private static final String[] WORKERS = {"w1", "w2", "w3", "w4", "w5"};
    private static final long DAY_MILLIS = 60_000;
    private static final int MOST_JOBS = 40;

    /** Longer than a silent worker's runs are waited for. */
    private static final long CALM_MILLIS = 15_000;

    private final List<JobId> jobs = new ArrayList<>();
    private Random random;
    private Process newest;
    private int processes;

    private void play(long seed) {
        random = new Random(seed);
        setUp(WORKERS);
        newest = new Process("p" + processes++);
        long end = time.steadyMillis() + DAY_MILLIS;
        while (time.steadyMillis() < end) {
            time.pass(random.nextInt(800));
            act();
        }
        calm();
    }

    private void act() {
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> arrive();
            case 3, 4, 5 -> finishOne(random.nextInt(4) == 0 ? RunEnd.FAILED : RunEnd.DONE);
            case 6 -> toggleCut();
            case 7 -> replaceScheduler();
            case 8 -> store.trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
            default -> store.trouble = Trouble.NONE;
        }
    }

    private void arrive() {
        if (jobs.size() < MOST_JOBS) {
            JobId id = JobId.of(String.format("%016x", 0xf00 + jobs.size()));
            jobs.add(id);
            submit(id, 1 + random.nextInt(3), random.nextBoolean());
        }
    }

    private void finishOne(RunEnd how) {
        List<Runnable> ends = new ArrayList<>();
        workers.running()
                .forEach(
                        (worker, tasks) ->
                                tasks.forEach(task -> ends.add(() -> finish(worker, task, how))));
        if (!ends.isEmpty()) {
            ends.get(random.nextInt(ends.size())).run();
        }
    }

    /** The members of a gang, which share a run's number, end together. */
    private void finish(WorkerId worker, TaskId ended, RunEnd how) {
        Long run = workers.at(worker.value()).running.get(ended);
        RunEnd others = how == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
        workers.running()
                .forEach(
                        (host, tasks) ->
                                tasks.stream()
                                        .filter(task -> task.job().equals(ended.job()))
                                        .filter(task -> isOf(run, host, task))
                                        .forEach(
                                                task ->
                                                        workers.finish(
                                                                host.value(),
                                                                task,
                                                                task.equals(ended)
                                                                        ? how
                                                                        : others)));
    }

    private boolean isOf(Long run, WorkerId host, TaskId task) {
        return run.equals(workers.at(host.value()).running.get(task));
    }

    private void toggleCut() {
        WorkerId worker = WorkerId.of(WORKERS[random.nextInt(WORKERS.length)]);
        if (!workers.cut.remove(worker)) {
            workers.cut.add(worker);
        }
    }

    /** An old process without its paths runs on and must do no harm. */
    private void replaceScheduler() {
        switch (random.nextInt(3)) {
            case 0 -> newest.paths.cutAll(WORKERS);
            case 1 -> newest.paths.cutStore();
            default -> newest.scheduling.resign().subscribe().with(done -> {});
        }
        newest = new Process("p" + processes++);
    }

    /** Heals all, and lets what runs end until nothing is left to do. */
    private void calm() {
        store.trouble = Trouble.NONE;
        workers.cut.clear();
        time.pass(CALM_MILLIS);
        for (int i = 0; i < 10 * MOST_JOBS && !isOver(); i++) {
            finishOne(RunEnd.DONE);
            time.pass(500);
        }
        time.pass(CALM_MILLIS);
    }

    private boolean isOver() {
        return jobs.stream().allMatch(this::isOver);
    }

    private boolean isOver(JobId id) {
        return newest.scheduling.jobs().find(id).filter(e -> e.state().isEnded()).isPresent();
    }

    @Nested
    class Days {

        @ParameterizedTest
        @ValueSource(
                longs = {
                    1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22,
                    23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40
                })
        void runNoTaskTwiceAtOnceAndEndEveryJob(long seed) {
            play(seed);
            assertEquals(List.of(), workers.overlaps);
            assertTrue(isOver(), () -> "left: " + jobs.stream().filter(j -> !isOver(j)).toList());
            assertEquals(
                    Set.of(),
                    Set.copyOf(workers.running().values().stream().flatMap(Set::stream).toList()));
        }
    }
}
