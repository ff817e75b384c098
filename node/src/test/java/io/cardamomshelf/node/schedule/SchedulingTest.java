package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Trouble;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.OperatorFact;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The scheduler over a store and workers in memory, on a clock that the tests set. */
class SchedulingTest {

    private static final QueuePolicy QUEUE = new QueuePolicy("q", "rota", 1, 3, 3, 1_500, false);
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final TaskId TASK = TaskId.of(JOB, 0, 0, 0);
    private static final Endpoint NOWHERE = Endpoint.parse("127.0.0.1:1");

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final FakeWorkers workers = new FakeWorkers(time);
    private final Decoder decoder = new Decoder();

    /** Reads the test's records: a worker's is its name, the operators' one is any. */
    private static final class Decoder implements RecordDecoder {

        @Override
        public OperatorFact operatorFact(StoredRecord record) {
            Configuration.Route route = new Configuration.Route("h", "/p/", false, 3_000, QUEUE);
            return new OperatorFact.Configured(
                    new Configuration(
                            1, List.of(route), List.of(), new Configuration.Limits(1_000)));
        }

        @Override
        public Optional<WorkerInfo> worker(StoredRecord record) {
            return Optional.of(
                    new WorkerInfo(
                            WorkerId.of(record.key()),
                            1,
                            "rota",
                            NOWHERE,
                            DataCentreId.of("jhb-a"),
                            "r1-1",
                            List.of("a"),
                            Resources.of(128_000, 512_000, 8),
                            false,
                            0));
        }
    }

    /** One process. */
    private final class Process {
        private final OperatorsView operators;
        private final List<StreamFollower> followers = new ArrayList<>();
        private final Scheduling scheduling;
        private final Paths paths = new Paths(time, store, workers);
        private StreamFollower jobsFollower;

        Process(String name) {
            operators = new OperatorsView(decoder, () -> {});
            scheduling =
                    new Scheduling(
                            time,
                            paths,
                            paths,
                            (step, asked, timeout) -> Uni.createFrom().item(Optional.empty()),
                            decoder,
                            operators,
                            time,
                            settings(name),
                            new ServiceMetrics(),
                            () -> jobsFollower.position());
            jobsFollower = follow(Stream.JOBS, scheduling.jobs());
            follow(Stream.OPERATORS, operators);
            follow(Stream.WORKERS, scheduling.workers());
            followers.forEach(StreamFollower::start);
            scheduling.start();
        }

        private StreamFollower follow(Stream stream, StreamFollower.Fold fold) {
            StreamFollower follower =
                    new StreamFollower(
                            time, paths, stream, fold, time, new StreamFollower.Pace(1_000, 0));
            followers.add(follower);
            return follower;
        }

        JobState state() {
            return scheduling.jobs().find(JOB).orElseThrow().state();
        }
    }

    private static NodeSettings settings(String name) {
        return new NodeSettings(
                name,
                DataCentreId.of("jhb-a"),
                NOWHERE,
                NOWHERE,
                NOWHERE,
                new NodeSettings.Bounds(5_000, 3_000, 6_000, 10_000, 120_000));
    }

    private void setUp(String... names) {
        store.write(Stream.OPERATORS, record("config"));
        for (String name : names) {
            store.write(Stream.WORKERS, record(name));
        }
    }

    private static StoredRecord record(String key) {
        return StoredRecord.of(key, "x".getBytes(StandardCharsets.UTF_8));
    }

    private void submit(int count, boolean gang) {
        StepSpec step =
                new StepSpec(
                        count,
                        Resources.of(1_000, 1_000, 8),
                        5_000,
                        List.of(),
                        false,
                        gang,
                        false,
                        "",
                        "",
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        0);
        store.write(
                Stream.JOBS,
                JobRecords.accepted(
                        new TaskJob(
                                JOB,
                                OrganisationId.of("circle"),
                                QUEUE,
                                time.now().wallMillis(),
                                new JobRequest("spec", List.of(step), 0, 0, 0))));
    }

    @Nested
    class OneScheduler {

        @Test
        void runsAJobToItsEnd() {
            setUp("w1");
            Process process = new Process("one");
            time.pass(4_000);
            assertTrue(process.scheduling.isLeading());
            submit(1, false);
            time.pass(1_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(JobState.RUNNING, process.state());
            workers.finish("w1", TASK, RunEnd.DONE);
            time.pass(2_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.at("w1").ended);
        }

        @Test
        void renewsTheLeaseOfWhatRuns() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(60_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void callsAnIdleWorkerNoMore() {
            setUp("w1");
            new Process("one");
            time.pass(5_000);
            int holds = workers.at("w1").holds;
            time.pass(30_000);
            assertEquals(holds, workers.at("w1").holds);
        }

        @Test
        void startsAgainElsewhereOnlyAfterASilentWorkersLeaseHasLapsed() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            store.write(Stream.WORKERS, record("w2"));
            workers.cut.add(WorkerId.of("w1"));
            time.pass(5_000);
            assertEquals(1, workers.starts.size());
            time.pass(7_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void keepsEndsUnacknowledgedWhileTheStoreIsAway() {
            setUp("w1");
            Process process = new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            store.trouble = Trouble.REFUSING;
            workers.finish("w1", TASK, RunEnd.DONE);
            time.pass(3_000);
            assertEquals(1, workers.at("w1").ended.size());
            assertTrue(workers.at("w1").holds < 40, "holds: " + workers.at("w1").holds);
            store.trouble = Trouble.NONE;
            time.pass(3_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.at("w1").ended);
        }

        @Test
        void stopsAStartWhoseAnswersAreLostAndStartsAgain() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            workers.losingAnswers.add(WorkerId.of("w1"));
            submit(1, false);
            time.pass(1_600);
            workers.losingAnswers.clear();
            time.pass(4_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
        }
    }

    @Nested
    class TwoSchedulers {

        @Test
        void electOne() {
            setUp("w1");
            Process one = new Process("one");
            Process two = new Process("two");
            time.pass(8_000);
            assertTrue(one.scheduling.isLeading() ^ two.scheduling.isLeading());
        }

        @Test
        void takeOverFromOneThatResignsWithoutAStop() {
            setUp("w1");
            Process one = new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            Process two = new Process("two");
            time.pass(1_000);
            one.scheduling.resign().subscribe().with(done -> {});
            time.pass(1_500);
            assertFalse(one.scheduling.isLeading());
            assertTrue(two.scheduling.isLeading());
            workers.finish("w1", TASK, RunEnd.DONE);
            time.pass(2_000);
            assertEquals(JobState.COMPLETED, two.state());
            assertEquals(1, workers.starts.size());
        }

        @Test
        void neverBothRunATaskWhenTheStoreComesBackFromAnOutage() {
            setUp("w1", "w2");
            Process one = new Process("one");
            Process two = new Process("two");
            time.pass(8_000);
            submit(1, false);
            time.pass(500);
            store.trouble = Trouble.SILENT;
            time.pass(20_000);
            store.trouble = Trouble.NONE;
            time.pass(10_000);
            assertTrue(one.scheduling.isLeading() ^ two.scheduling.isLeading());
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void outOfColdStartsWaitForLeasesOfWorkersWhoseEntriesHaveLapsed() {
            setUp("w1");
            Process one = new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            workers.cut.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, record("w2"));
            store.write(Stream.WORKERS, StoredRecord.dropped("w1"));
            one.scheduling.resign().subscribe().with(done -> {});
            time.pass(500);
            Process two = new Process("two");
            time.pass(3_000);
            assertTrue(two.scheduling.isLeading());
            assertEquals(1, workers.starts.size());
            time.pass(4_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void neverBothRunATaskWhenTheFirstKeepsAPathToItsWorkerAlone() {
            setUp("w1", "w2", "w3");
            Process one = new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            String host = workers.starts.get(0).worker().value();
            Process two = new Process("two");
            time.pass(1_000);
            one.paths.cutStore();
            for (String name : List.of("w1", "w2", "w3")) {
                (name.equals(host) ? two : one).paths.cutWorker(name);
            }
            time.pass(30_000);
            assertTrue(two.scheduling.isLeading());
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void outOfColdStartInheritedWorkAtOnceOnceAllWorkersHaveTold() {
            setUp("w1");
            Process one = new Process("one");
            time.pass(4_000);
            one.scheduling.resign().subscribe().with(done -> {});
            time.pass(500);
            submit(1, false);
            Process two = new Process("two");
            while (!two.scheduling.isLeading()) {
                time.pass(10);
            }
            time.pass(500);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void startAtOnceWhatWasAcceptedWithoutASchedulerThoughAWorkerIsSilent() {
            setUp("w1", "w2");
            Process one = new Process("one");
            time.pass(4_000);
            one.scheduling.resign().subscribe().with(done -> {});
            time.pass(500);
            workers.cut.add(WorkerId.of("w1"));
            submit(1, false);
            Process two = new Process("two");
            while (!two.scheduling.isLeading()) {
                time.pass(10);
            }
            time.pass(500);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void knowEveryWorkerThatMayHaveRuns() {
            setUp("w1", "w2");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            long known =
                    store.records(Stream.JOBS).stream()
                            .filter(record -> JobRecords.kind(record) == JobRecords.Kind.WORKER)
                            .count();
            assertEquals(2, known);
        }

        @Test
        void followOnAfterTheHistoryWasDropped() {
            setUp("w1");
            Process one = new Process("one");
            time.pass(4_000);
            submit(1, false);
            store.dropHistory(Stream.JOBS);
            Process two = new Process("two");
            time.pass(3_000);
            assertTrue(one.scheduling.isLeading() ^ two.scheduling.isLeading());
            assertEquals(JobState.RUNNING, one.state());
            assertEquals(JobState.RUNNING, two.state());
        }
    }
}
