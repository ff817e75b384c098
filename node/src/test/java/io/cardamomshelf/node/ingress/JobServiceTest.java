package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.CallersProtocol;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.OperatorFact;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the answers on jobs that the instance may not have read yet. */
class JobServiceTest {

    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final OrganisationId ORGANISATION = OrganisationId.of("circle");
    private static final QueuePolicy QUEUE = new QueuePolicy("q", "rota", 1, 3, 3, 1_500, false);
    private static final Configuration.Route ROUTE =
            new Configuration.Route("h", "/p/", false, 3_000, QUEUE);
    private static final long CALL_TIMEOUT_MILLIS = 2_800;

    private static final StepSpec STEP =
            new StepSpec(
                    1,
                    Resources.of(1_000, 1_000, 1),
                    5_000,
                    List.of(),
                    false,
                    false,
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
    private static final JobRequest REQUEST = new JobRequest("spec", List.of(STEP), 0, 0, 0);

    private static final class Protocol implements CallersProtocol {

        @Override
        public Optional<String> key(HttpServerRequest request) {
            return Optional.empty();
        }

        @Override
        public OptionalLong deadlineMillis(HttpServerRequest request) {
            return OptionalLong.empty();
        }

        @Override
        public boolean isJobId(String text) {
            return true;
        }

        @Override
        public JobRequest parseRequest(Buffer body) {
            return REQUEST;
        }

        @Override
        public Buffer formatState(JobState state) {
            return Buffer.buffer(state.name());
        }

        @Override
        public Buffer formatPending(long pending) {
            return Buffer.buffer(String.valueOf(pending));
        }

        @Override
        public Buffer formatRefusal(String reason) {
            return Buffer.buffer(reason);
        }
    }

    private static final class Unused
            implements RecordDecoder, JobsView.Listener, WorkersView.Listener {

        @Override
        public OperatorFact operatorFact(StoredRecord record) {
            throw new IllegalStateException("no operators' records here");
        }

        @Override
        public Optional<WorkerInfo> worker(StoredRecord record) {
            return Optional.empty();
        }

        @Override
        public void jobChanged(JobsView.Entry entry) {}

        @Override
        public void leaderRecordRead(JobRecords.Leader leader) {}

        @Override
        public void caughtUp() {}

        @Override
        public void workerRegistered(WorkerInfo info) {}

        @Override
        public void workerUnregistered(WorkerId id) {}
    }

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final JobsView jobs = new JobsView(new Unused());
    private final StreamFollower follower =
            new StreamFollower(
                    time, store, Stream.JOBS, jobs, time, new StreamFollower.Pace(600, 80));
    private final Freshness freshness =
            new Freshness(
                    new NodeSettings.Bounds(5_000, 3_000, 6_000, 10_000, 120_000, 0),
                    () -> 0,
                    follower::proofAgeMillis);
    private Optional<String> capObstacle = Optional.empty();
    private final JobService service =
            new JobService(
                    new Protocol(),
                    jobs,
                    follower::catchUp,
                    new WorkersView(new Unused(), new Unused()),
                    (organisation, request) -> capObstacle,
                    new CallerAppender(time, store, time, freshness::isStoreReachable),
                    freshness,
                    time,
                    new LimitReporter(time, time, new ServiceMetrics()));

    @BeforeEach
    void follow() {
        store.waitShare = 1;
        follower.start();
        time.advance(700);
    }

    private Call call() {
        return call(JOB, ORGANISATION);
    }

    private Call call(JobId id, OrganisationId organisation) {
        long deadlineMillis = time.monotonicMillis() + CALL_TIMEOUT_MILLIS;
        return new Call(ROUTE, organisation, id.toString(), Buffer.buffer(), deadlineMillis);
    }

    /** Waits for an answer in steps of a millisecond, so that the next call follows at once. */
    private Answer await(Uni<Answer> answer) {
        List<Answer> answers = new ArrayList<>();
        answer.subscribe().with(answers::add);
        for (int i = 0; i <= CALL_TIMEOUT_MILLIS && answers.isEmpty(); i++) {
            time.advance(1);
        }
        assertFalse(answers.isEmpty(), "no answer in time");
        return answers.get(0);
    }

    private void acceptElsewhere() {
        store.write(
                Stream.JOBS,
                JobRecords.accepted(
                        new TaskJob(JOB, ORGANISATION, QUEUE, time.now().wallMillis(), REQUEST)));
    }

    private boolean isCancellationStored() {
        String key = JobRecords.cancelled(JOB).key();
        return store.records(Stream.JOBS).stream().anyMatch(record -> record.key().equals(key));
    }

    @Nested
    class Submission {

        /** Guards against a job that waits until its caller gives up, as its cap is too low. */
        @Test
        void ofAJobThatTheCapNeverAllowsIsRefusedAndNotStored() {
            capObstacle = Optional.of("too large");
            Answer answer = await(service.submit(call()));
            assertEquals(Answer.TOO_MANY, answer.status());
            assertEquals("too large", answer.body().toString());
            assertTrue(answer.retryAfterSeconds() > 0);
            assertEquals(0, store.records(Stream.JOBS).size());
        }
    }

    /** Guards against a cancellation that is answered 410 and lost, while the job runs on. */
    @Nested
    class Cancellation {

        @Test
        void rightAfterTheAcceptanceIsStored() {
            assertEquals(Answer.OK, await(service.submit(call())).status());
            assertEquals(Answer.OK, await(service.cancel(call())).status());
            assertTrue(isCancellationStored());
        }

        @Test
        void ofAJobThatAnotherInstanceHasJustAcceptedIsStored() {
            acceptElsewhere();
            assertEquals(Answer.OK, await(service.cancel(call())).status());
            assertTrue(isCancellationStored());
        }

        @Test
        void ofAnUnknownJobIsAnsweredAsGone() {
            assertEquals(Answer.GONE, await(service.cancel(call())).status());
            assertFalse(isCancellationStored());
        }

        @Test
        void ofAnUnknownJobIsRefusedWhileTheStoreIsUnreachable() {
            acceptElsewhere();
            store.fault = Fault.UNRESPONSIVE;
            Answer answer = await(service.cancel(call()));
            assertEquals(Answer.UNAVAILABLE, answer.status());
            assertTrue(answer.retryAfterSeconds() > 0);
        }

        @Test
        void waitsForASlowReadAtMostUntilTheDeadline() {
            store.readMillis = 10_000;
            assertEquals(Answer.UNAVAILABLE, await(service.cancel(call())).status());
        }
    }

    /** Guards against a job that runs though its cancellation was answered 410. */
    @Nested
    class EarlyCancellation {

        private static final OrganisationId OTHER = OrganisationId.of("other");

        /** Longer than the store takes to carry out a late append, in milliseconds. */
        private static final long LATE_MILLIS = 6_000;

        private boolean isCancelled() {
            return jobs.find(JOB).orElseThrow().isCancelled();
        }

        @Test
        void holdsForASubmissionThatIsStoredLater() {
            store.fault = Fault.DELAYED;
            store.lateAppendMillis = LATE_MILLIS;
            assertEquals(Answer.OUTCOME_UNKNOWN, await(service.submit(call())).status());
            store.fault = Fault.NONE;
            assertEquals(Answer.GONE, await(service.cancel(call())).status());
            time.advance(LATE_MILLIS);
            assertTrue(isCancelled());
            assertEquals("CANCELLED", await(service.queryState(call())).body().toString());
        }

        @Test
        void holdsForASubmissionThatIsStoredJustBeforeIt() {
            store.appendMillis = 50;
            List<Answer> answers = new ArrayList<>();
            service.cancel(call()).subscribe().with(answers::add);
            time.advance(20);
            acceptElsewhere();
            time.advance(1_000);
            assertEquals(1, answers.size());
            assertTrue(isCancelled());
        }

        /** Guards against an organisation that cancels the jobs of another one. */
        @Test
        void doesNotHoldForAnotherOrganisation() {
            assertEquals(Answer.GONE, await(service.cancel(call(JOB, OTHER))).status());
            time.advance(1_000);
            assertEquals(Answer.OK, await(service.submit(call())).status());
            assertEquals(Answer.GONE, await(service.cancel(call(JOB, OTHER))).status());
            time.advance(1_000);
            assertFalse(isCancelled());
        }

        /** Guards against an acceptance of a job that never runs. */
        @Test
        void letsALaterSubmissionBeAnsweredAsGone() {
            assertEquals(Answer.GONE, await(service.cancel(call())).status());
            time.advance(1_000);
            int before = store.appends;
            Answer answer = await(service.submit(call()));
            assertEquals(Answer.GONE, answer.status());
            assertEquals(before, store.appends);
            assertTrue(answer.body().toString().contains("cancelled"));
        }

        /** Guards against a client that fills the store with cancellations. */
        @Test
        void isRefusedWhileTheOrganisationHasTooMany() {
            for (int i = 0; i < 1_000; i++) {
                JobId id = JobId.of(String.format("%016x", i));
                assertEquals(Answer.GONE, await(service.cancel(call(id, OTHER))).status());
            }
            time.advance(1_000);
            int before = store.appends;
            Answer answer = await(service.cancel(call(JOB, OTHER)));
            assertEquals(Answer.UNAVAILABLE, answer.status());
            assertTrue(answer.retryAfterSeconds() > 0);
            assertEquals(before, store.appends);
            assertEquals(Answer.GONE, await(service.cancel(call())).status());
        }

        /** Guards against an acknowledgement of a cancellation that isn't stored. */
        @Test
        void isNotAcknowledgedWithoutTheStore() {
            List<Answer> answers = new ArrayList<>();
            service.cancel(call()).subscribe().with(answers::add);
            time.advance(2);
            store.fault = Fault.REFUSING;
            time.advance(CALL_TIMEOUT_MILLIS);
            assertEquals(Answer.UNAVAILABLE, answers.get(0).status());
        }
    }

    @Nested
    class State {

        @Test
        void isKnownRightAfterTheAcceptance() {
            assertEquals(Answer.OK, await(service.submit(call())).status());
            assertEquals(Answer.OK, await(service.queryState(call())).status());
        }

        @Test
        void ofAJobThatAnotherInstanceHasJustAcceptedIsKnown() {
            acceptElsewhere();
            assertEquals(Answer.OK, await(service.queryState(call())).status());
        }

        @Test
        void ofAnUnknownJobIsAnsweredAsGone() {
            assertEquals(Answer.GONE, await(service.queryState(call())).status());
        }

        @Test
        void ofAnUnknownJobIsAnsweredAsGoneWhileTheViewIsYoungerThanTheBound() {
            store.fault = Fault.UNRESPONSIVE;
            assertEquals(Answer.GONE, await(service.queryState(call())).status());
            time.advance(2_100);
            assertEquals(Answer.UNAVAILABLE, await(service.queryState(call())).status());
        }
    }
}
