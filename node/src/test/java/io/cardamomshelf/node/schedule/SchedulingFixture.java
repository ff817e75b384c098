package io.cardamomshelf.node.schedule;

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
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.OperatorFact;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.settings.CallerLimits;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/** Schedulers with a shared store and workers in memory, in virtual time. */
abstract class SchedulingFixture {

    static final QueuePolicy QUEUE = new QueuePolicy("q", "rota", 1, 3, 3, 1_500, false);
    static final OrganisationId ORGANISATION = OrganisationId.of("circle");
    static final double QUOTA_OVERAGE = 0.1;
    static final JobId JOB = JobId.of("00000000000000aa");
    static final TaskId TASK = TaskId.of(JOB, 0, 0, 0);
    static final Endpoint UNUSED_ENDPOINT = Endpoint.parse("127.0.0.1:1");

    final VirtualTime time = new VirtualTime();
    final FakeStore store = new FakeStore(time);
    final FakeWorkers workers = new FakeWorkers(time);
    private final Decoder decoder = new Decoder();
    private long maxLeaseMillis = 10_000;
    private long stateKeptMillis = 120_000;

    /**
     * Decodes the test's records: a worker's key is its name, its value its incarnation, and each
     * record of the operators gives the same configuration.
     */
    static final class Decoder implements RecordDecoder {

        @Override
        public OperatorFact operatorFact(StoredRecord record) {
            List<Configuration.Route> routes =
                    queues.stream()
                            .map(queue -> new Configuration.Route("h", "/p/", false, 3_000, queue))
                            .toList();
            return new OperatorFact.Configured(
                    new Configuration(
                            version, routes, organisations, new Configuration.Limits(1_000)));
        }

        /** The version of the configuration that is read next. */
        private long version = 1;

        /** The organisations in the configuration that is read next. */
        private List<Configuration.Organisation> organisations = List.of();

        /** The queues in the configuration that is read next. */
        private List<QueuePolicy> queues = List.of(QUEUE);

        /** The service in each worker's entry. */
        private Function<WorkerId, String> workerService = id -> QUEUE.service();

        /** The clock that each worker reports in its entry, in milliseconds; 0 for none. */
        private ToLongFunction<WorkerId> workerClockMillis = id -> 0;

        /** The address in each worker's entry. */
        private Function<WorkerId, Endpoint> workerEndpoint = id -> UNUSED_ENDPOINT;

        @Override
        public Optional<WorkerInfo> worker(StoredRecord record) {
            return Optional.of(
                    new WorkerInfo(
                            WorkerId.of(record.key()),
                            Long.parseLong(new String(record.value(), StandardCharsets.UTF_8)),
                            workerService.apply(WorkerId.of(record.key())),
                            workerEndpoint.apply(WorkerId.of(record.key())),
                            DataCentreId.of("jhb-a"),
                            "r1-1",
                            List.of("a"),
                            Resources.of(128_000, 512_000, 8),
                            false,
                            0,
                            workerClockMillis.applyAsLong(WorkerId.of(record.key()))));
        }
    }

    /** One process that is a candidate for scheduler. */
    final class Process {
        private final OperatorsView operators;
        private final List<StreamFollower> followers = new ArrayList<>();
        final SchedulerCandidate candidate;
        final ProcessTime ownTime = new ProcessTime(time);
        final NodeLinks links = new NodeLinks(time, ownTime, store, workers);
        private StreamFollower jobsFollower;

        Process(String name) {
            this(name, 1);
        }

        Process(String name, double cores) {
            this(name, cores, new Random(name.hashCode() * 31L + time.now().wallMillis()));
        }

        Process(String name, double cores, RandomGenerator random) {
            operators = new OperatorsView(decoder, this::operatorsChanged);
            candidate =
                    new SchedulerCandidate(
                            ownTime,
                            links,
                            links,
                            (step, asked, timeout) -> Uni.createFrom().item(Optional.empty()),
                            decoder,
                            operators,
                            ownTime,
                            settings(name, cores),
                            new ServiceMetrics(),
                            () -> jobsFollower.position(),
                            random);
            jobsFollower = follow(Stream.JOBS, candidate.jobs());
            follow(Stream.OPERATORS, operators);
            follow(Stream.WORKERS, candidate.workers());
            followers.forEach(StreamFollower::start);
            candidate.start();
        }

        private void operatorsChanged() {
            candidate.operatorsChanged();
        }

        private StreamFollower follow(Stream stream, StreamFollower.Fold fold) {
            StreamFollower follower =
                    new StreamFollower(
                            ownTime,
                            links,
                            stream,
                            fold,
                            ownTime,
                            new StreamFollower.Pace(1_000, 0));
            followers.add(follower);
            return follower;
        }

        /** Returns those of the jobs that it doesn't show as ended. */
        List<JobId> unendedOf(List<JobId> jobs) {
            return jobs.stream()
                    .filter(
                            id ->
                                    candidate
                                            .jobs()
                                            .find(id)
                                            .filter(entry -> entry.state().isEnded())
                                            .isEmpty())
                    .toList();
        }

        JobState state() {
            return candidate.jobs().find(JOB).orElseThrow().state();
        }
    }

    void awaitLeading(Process process) {
        advanceUntil(process.candidate::isLeading);
    }

    /** Advances the time until a condition is met, at most ten seconds. */
    void advanceUntil(BooleanSupplier condition) {
        for (int i = 0; i < 10_000 && !condition.getAsBoolean(); i++) {
            time.advance(1);
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Sets the longest lease that workers grant, for processes created later. */
    void setMaxLease(long millis) {
        maxLeaseMillis = millis;
    }

    /** Sets how long ended jobs are kept, for processes created later. */
    void setStateKept(long millis) {
        stateKeptMillis = millis;
    }

    /** Makes the entries of workers contain their clocks, as of when an entry is read. */
    void reportWorkerClocks() {
        decoder.workerClockMillis = workers::clockMillis;
    }

    /** Makes the entries of workers that have moved contain their new addresses. */
    void reportWorkerMoves() {
        decoder.workerEndpoint = id -> workers.movedTo.getOrDefault(id, UNUSED_ENDPOINT);
    }

    /** Makes the entries of some workers name another service. */
    void reportService(String service, String... names) {
        decoder.workerService =
                id -> List.of(names).contains(id.value()) ? service : QUEUE.service();
    }

    /** Stores a configuration with these queues. */
    void configure(QueuePolicy... queues) {
        decoder.queues = List.of(queues);
        store.write(Stream.OPERATORS, record("config"));
    }

    /** Stores a configuration that limits the accelerators of the organisation of all jobs. */
    void capAccelerators(int cap) {
        decoder.version++;
        decoder.organisations =
                List.of(
                        new Configuration.Organisation(
                                ORGANISATION, List.of(), 0, 0, Resources.of(0, 0, cap)));
        store.write(Stream.OPERATORS, record("config"));
    }

    private NodeSettings settings(String name, double cores) {
        return new NodeSettings(
                name,
                DataCentreId.of("jhb-a"),
                UNUSED_ENDPOINT,
                UNUSED_ENDPOINT,
                UNUSED_ENDPOINT,
                cores,
                new NodeSettings.Bounds(
                        5_000, 3_000, 6_000, maxLeaseMillis, stateKeptMillis, QUOTA_OVERAGE),
                CallerLimits.ofSmallestMachine());
    }

    /** Stores the configuration, and the registry entries of workers with these names. */
    void storeConfigurationAndWorkers(String... names) {
        store.write(Stream.OPERATORS, record("config"));
        for (String name : names) {
            store.write(Stream.WORKERS, record(name));
        }
    }

    /** Stores the registry entry of a worker's current incarnation. */
    void register(String name) {
        store.write(Stream.WORKERS, record(name, workers.worker(name).bornMillis));
    }

    static StoredRecord record(String key) {
        return record(key, 1);
    }

    static StoredRecord record(String key, long bornMillis) {
        return StoredRecord.of(key, Long.toString(bornMillis).getBytes(StandardCharsets.UTF_8));
    }

    void submit(int count, boolean gang) {
        submit(JOB, count, gang);
    }

    /** Submits a job of one task, of which a worker has room for eight. */
    void submitSmall(JobId id) {
        submit(id, 1, 1, false);
    }

    void submit(JobId id, int count, boolean gang) {
        submit(id, count, 8, gang);
    }

    void submit(JobId id, int count, int accelerators, boolean gang) {
        submit(id, QUEUE, count, accelerators, gang);
    }

    void submit(JobId id, QueuePolicy queue, int count, int accelerators, boolean gang) {
        submit(id, queue, count, accelerators, gang, 0);
    }

    /** Submits a job that is due several times at once. */
    void submitRepeated(JobId id, int count, int repetitions) {
        submit(id, QUEUE, count, 1, false, repetitions);
    }

    private void submit(
            JobId id,
            QueuePolicy queue,
            int count,
            int accelerators,
            boolean gang,
            int repetitions) {
        StepSpec step =
                new StepSpec(
                        count,
                        Resources.of(1_000, 1_000, accelerators),
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
                                id,
                                ORGANISATION,
                                queue,
                                time.now().wallMillis(),
                                new JobRequest("spec", List.of(step), repetitions, 0, 0))));
    }
}
