package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunHosts;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobRecords.EarlyCancellation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests schedulers that read the cancellation of a job before the job. */
class EarlyCancellationTest extends SchedulingFixture {

    private static final long STATE_KEPT_MILLIS = 1_000;

    /** Longer than the retention with its margin and the interval of its checks. */
    private static final long EXPIRY_MILLIS = STATE_KEPT_MILLIS + 40_000;

    private final StoredRecord cancellation =
            JobRecords.earlyCancellation(new EarlyCancellation(JOB, ORGANISATION), 7);

    private Process startScheduler() {
        setStateKept(STATE_KEPT_MILLIS);
        storeConfigurationAndWorkers("w1");
        Process process = new Process("one");
        awaitLeading(process);
        return process;
    }

    private boolean isCancellationStored() {
        List<StoredRecord> records =
                store.records(Stream.JOBS).stream()
                        .filter(record -> record.key().equals(cancellation.key()))
                        .toList();
        return !records.get(records.size() - 1).isTombstone();
    }

    /** Guards against a job that starts after its cancellation was acknowledged. */
    @Test
    void isAppliedToTheJobThatIsStoredLater() {
        Process process = startScheduler();
        store.write(Stream.JOBS, cancellation);
        time.advance(6_000);
        submit(1, false);
        time.advance(2_000);
        assertEquals(0, workers.starts.size());
        assertEquals(JobState.CANCELLED, process.state());
    }

    /** Guards against a cancellation that a takeover with a compacted stream loses. */
    @Test
    void outlivesAChangeOfSchedulerAndTheLossOfTheHistory() {
        Process one = startScheduler();
        store.write(Stream.JOBS, cancellation);
        time.advance(100);
        one.links.disconnectAll("w1");
        store.dropHistory(Stream.JOBS);
        Process two = new Process("two");
        awaitLeading(two);
        submit(1, false);
        time.advance(2_000);
        assertEquals(0, workers.starts.size());
        assertEquals(JobState.CANCELLED, two.state());
    }

    /** Guards against one organisation's cancellation of the job of another one. */
    @Test
    void isIgnoredForAnotherOrganisationsJob() {
        startScheduler();
        store.write(
                Stream.JOBS,
                JobRecords.earlyCancellation(
                        new EarlyCancellation(JOB, OrganisationId.of("other")), 7));
        submit(1, false);
        time.advance(2_000);
        assertTrue(workers.isRunning(TASK));
    }

    /** Guards against a store that fills with cancellations of jobs that never arrive. */
    @Test
    void isDroppedOnceNoSubmissionCanBeStoredAnyMore() {
        Process process = startScheduler();
        store.write(Stream.JOBS, cancellation);
        time.advance(20_000);
        assertTrue(isCancellationStored());
        time.advance(EXPIRY_MILLIS);
        assertFalse(isCancellationStored());
        assertEquals(0, process.candidate.jobs().earlyCancellations().byKey().size());
    }

    /** Guards against a cancelled job that looks uncancelled after its stream is loaded again. */
    @Test
    void isKeptUntilItsJobHasEnded() {
        Process notElected = new Process("one");
        store.write(Stream.JOBS, cancellation);
        submit(1, false);
        time.advance(2_000);
        JobRetention retention = new JobRetention(notElected.candidate.jobs(), STATE_KEPT_MILLIS);
        assertEquals(List.of(), keysDropped(retention, 0));
        assertEquals(List.of(), keysDropped(retention, 2 * STATE_KEPT_MILLIS));
        JobProgress ended = new JobProgress(JobState.CANCELLED, List.of(), RunHosts.of(List.of()));
        store.write(Stream.JOBS, JobRecords.progress(JOB, ended));
        time.advance(2_000);
        assertEquals(
                List.of(cancellation.key()), keysDropped(retention, 2 * STATE_KEPT_MILLIS + 1));
    }

    private static List<String> keysDropped(JobRetention retention, long nowMillis) {
        return retention.findExpired(nowMillis, id -> {}).stream().map(StoredRecord::key).toList();
    }
}
