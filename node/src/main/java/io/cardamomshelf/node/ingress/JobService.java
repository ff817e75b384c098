package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.Feasibility;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.CallersProtocol;
import io.cardamomshelf.node.port.CallersProtocol.ExcessiveException;
import io.cardamomshelf.node.port.CallersProtocol.MalformedException;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobRecords.EarlyCancellation;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

/**
 * Answers callers' submissions, status queries and cancellations of jobs.
 *
 * <p>Use: called by {@link CallersServer} after routing and authentication.
 *
 * <p>A success is returned only for what is stored, and a refusal only for what is certainly not
 * stored and will not be. In all other cases the answer is that the outcome is unknown.
 */
final class JobService {

    /**
     * The retry time for a job that no registered worker could run, or that its organisation's cap
     * never allows, in seconds. New workers register within about this time.
     */
    private static final int INFEASIBLE_RETRY_SECONDS = 10;

    /** The retry time while the store is unavailable, in seconds: outages last seconds. */
    private static final int UNAVAILABLE_RETRY_SECONDS = 1;

    /** The longest wait for a read that has to confirm that a job is absent, in milliseconds. */
    private static final long ABSENCE_TIMEOUT_MILLIS = 800;

    /** Updates the view of the jobs. */
    @FunctionalInterface
    interface Refresh {

        /**
         * Reads the stored jobs, at most for the given time. The result is true once the view has
         * all jobs that were accepted before this call, through any instance.
         */
        Uni<Boolean> catchUp(long timeoutMillis);
    }

    /** Compares jobs with the caps in the configuration in force. */
    @FunctionalInterface
    interface Caps {

        /** Returns why an organisation's cap never allows a job, empty if it does. */
        Optional<String> obstacle(OrganisationId organisation, JobRequest request);
    }

    private final CallersProtocol protocol;
    private final JobsView jobs;
    private final Refresh refresh;
    private final WorkersView workers;
    private final Caps caps;
    private final CallerAppender appender;
    private final Freshness freshness;
    private final Clock clock;
    private final LimitReporter reporter;
    private final EventLimiter events;

    JobService(
            CallersProtocol protocol,
            JobsView jobs,
            Refresh refresh,
            WorkersView workers,
            Caps caps,
            CallerAppender appender,
            Freshness freshness,
            Clock clock,
            LimitReporter reporter) {
        this.protocol = protocol;
        this.jobs = jobs;
        this.refresh = refresh;
        this.workers = workers;
        this.caps = caps;
        this.appender = appender;
        this.freshness = freshness;
        this.clock = clock;
        this.reporter = reporter;
        this.events = new EventLimiter(clock);
    }

    /**
     * Accepts a job. If the job is stored already, also through another instance, the answer is its
     * state; if its organisation has cancelled it already, the answer is that it is gone.
     */
    Uni<Answer> submit(Call call) {
        JobId id = JobId.of(call.pathSuffix());
        Optional<JobsView.Entry> entry = jobs.find(id);
        if (entry.isPresent()) {
            return isOfOtherOrganisation(entry.get(), call)
                    ? refusal(Answer.FORBIDDEN, "the job belongs to another organisation")
                    : repeatedSubmissionAnswer(id, entry.get());
        }
        if (jobs.earlyCancellations().contains(id, call.organisation())) {
            return refusal(Answer.GONE, "the job was cancelled before it was accepted");
        }
        if (!freshness.isStoreReachable()) {
            return refusal(Answer.UNAVAILABLE, "the store doesn't answer here");
        }
        JobRequest request;
        try {
            request = protocol.parseRequest(call.body());
        } catch (ExcessiveException e) {
            reporter.exceeded(CallerLimit.DOCUMENT);
            return refusal(Answer.BAD_REQUEST, e.getMessage());
        } catch (MalformedException e) {
            return refusal(Answer.BAD_REQUEST, e.getMessage());
        }
        Optional<String> obstacle =
                Feasibility.obstacle(request, call.route().policy().service(), workers.registered())
                        .or(() -> caps.obstacle(call.organisation(), request));
        if (obstacle.isPresent()) {
            return completed(
                    new Answer(
                            Answer.TOO_MANY,
                            protocol.formatRefusal(obstacle.get()),
                            INFEASIBLE_RETRY_SECONDS));
        }
        TaskJob job =
                new TaskJob(
                        id,
                        call.organisation(),
                        call.route().policy(),
                        clock.now().wallMillis(),
                        request);
        return append(JobRecords.accepted(job), call)
                .map(outcome -> submissionAnswer(outcome, job));
    }

    /**
     * Returns the state of a job. If a job isn't known here and can't be read, it is reported as
     * absent while the view is younger than the visibility bound.
     */
    Uni<Answer> queryState(Call call) {
        return withOwnJob(
                call,
                this::stateAnswer,
                caughtUp -> absenceAnswer(caughtUp || freshness.isAbsenceProven()));
    }

    /**
     * Cancels a job. A job that isn't known here is reported as absent only after a read: its
     * caller won't cancel it again, so a job that was accepted a moment ago would run to its end.
     * For the same reason the cancellation is stored then, too: the store may carry out a
     * submission later that its caller has given up.
     */
    Uni<Answer> cancel(Call call) {
        return withOwnJob(
                call,
                entry -> cancel(entry, call),
                caughtUp -> caughtUp ? cancelEarly(call) : absenceAnswer(false));
    }

    private Uni<Answer> cancelEarly(Call call) {
        JobId id = JobId.of(call.pathSuffix());
        if (jobs.find(id).isPresent()) {
            // Another organisation's, so no submission of this identifier is accepted.
            return absenceAnswer(true);
        }
        if (!jobs.earlyCancellations().hasRoomFor(call.organisation())) {
            reporter.exceeded(CallerLimit.EARLY_CANCELLATIONS);
            return refusal(Answer.UNAVAILABLE, "too many jobs that don't exist were cancelled");
        }
        StoredRecord record =
                JobRecords.earlyCancellation(
                        new EarlyCancellation(id, call.organisation()),
                        ThreadLocalRandom.current().nextLong());
        return append(record, call)
                .chain(
                        outcome ->
                                outcome instanceof AppendOutcome.Stored stored
                                        ? earlyCancellationAnswer(call, stored)
                                        : completed(notStoredAnswer(outcome)));
    }

    private Uni<Answer> earlyCancellationAnswer(Call call, AppendOutcome.Stored stored) {
        events.write(
                NodeEvent.JOB_CANCELLED_EARLY,
                line -> line.with("job", call.pathSuffix()).with("offset", stored.offset()));
        return findOwn(call).map(this::stateAnswer).orElseGet(() -> absenceAnswer(true));
    }

    private Uni<Answer> cancel(JobsView.Entry entry, Call call) {
        if (entry.isCancelled() || entry.state().isEnded()) {
            return stateAnswer(entry);
        }
        JobId id = JobId.of(call.pathSuffix());
        return append(JobRecords.cancelled(id), call)
                .map(outcome -> cancellationAnswer(outcome, id, entry));
    }

    Uni<Answer> queryPending(Call call) {
        if (!freshness.isAbsenceProven()) {
            return refusal(Answer.UNAVAILABLE, "the number of jobs isn't current here");
        }
        long pendingJobs = jobs.countPending(call.route().policy().name());
        return completed(new Answer(Answer.OK, protocol.formatPending(pendingJobs), 0));
    }

    Uni<Answer> refusal(int status, String reason) {
        int retryAfterSeconds = status == Answer.UNAVAILABLE ? UNAVAILABLE_RETRY_SECONDS : 0;
        return completed(new Answer(status, protocol.formatRefusal(reason), retryAfterSeconds));
    }

    private Uni<AppendOutcome> append(StoredRecord record, Call call) {
        return appender.append(record, call.deadlineMillis());
    }

    private Answer submissionAnswer(AppendOutcome outcome, TaskJob job) {
        if (outcome instanceof AppendOutcome.Stored stored) {
            StepSpec first = job.request().steps().get(0);
            EventLog.of(NodeEvent.JOB_ACCEPTED)
                    .with("job", job.id())
                    .with("queue", job.queue().name())
                    .with("organisation", job.organisation())
                    .with("priority", job.queue().priority())
                    .with("steps", job.request().steps().size())
                    .with("tasks", first.count())
                    .with("task", first.demand())
                    .with("gang", first.gang())
                    .with("rackLocal", first.rackLocal())
                    .with("estimateMillis", first.estimateMillis())
                    .with("offset", stored.offset())
                    .with("configurationAgeMillis", freshness.configurationAgeMillis())
                    .write();
            return new Answer(Answer.OK, protocol.formatState(currentState(job.id())), 0);
        }
        return notStoredAnswer(outcome);
    }

    private Uni<Answer> repeatedSubmissionAnswer(JobId id, JobsView.Entry entry) {
        events.write(
                NodeEvent.JOB_REPEATED,
                line ->
                        line.with("job", id)
                                .with("state", entry.state())
                                .with("jobsAgeMillis", freshness.jobsAgeMillis()));
        return stateAnswer(entry);
    }

    private Answer cancellationAnswer(AppendOutcome outcome, JobId id, JobsView.Entry entry) {
        if (outcome instanceof AppendOutcome.Stored stored) {
            EventLog.of(NodeEvent.JOB_CANCELLED)
                    .with("job", id)
                    .with("offset", stored.offset())
                    .with("state", entry.progress().state())
                    .write();
            return new Answer(Answer.OK, protocol.formatState(entry.state()), 0);
        }
        return notStoredAnswer(outcome);
    }

    private Answer notStoredAnswer(AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Refused refused) {
            return new Answer(
                    Answer.UNAVAILABLE,
                    protocol.formatRefusal(refused.reason()),
                    UNAVAILABLE_RETRY_SECONDS);
        }
        return new Answer(
                Answer.OUTCOME_UNKNOWN,
                protocol.formatRefusal("it isn't known whether the call was stored"),
                0);
    }

    private JobState currentState(JobId id) {
        return jobs.find(id).map(JobsView.Entry::state).orElse(JobState.QUEUED);
    }

    private Uni<Answer> stateAnswer(JobsView.Entry entry) {
        return completed(new Answer(Answer.OK, protocol.formatState(entry.state()), 0));
    }

    private Uni<Answer> absenceAnswer(boolean isProven) {
        return isProven
                ? refusal(Answer.GONE, "there is no such job")
                : refusal(Answer.UNAVAILABLE, "the jobs aren't current here");
    }

    /**
     * Answers a call with the caller's job. One that isn't known here is read first, and if it is
     * still unknown, {@code ifAbsent} gets whether the view is current as of the call.
     */
    private Uni<Answer> withOwnJob(
            Call call,
            Function<JobsView.Entry, Uni<Answer>> ifPresent,
            Function<Boolean, Uni<Answer>> ifAbsent) {
        Optional<JobsView.Entry> known = findOwn(call);
        if (known.isPresent()) {
            return ifPresent.apply(known.get());
        }
        return catchUp(call)
                .chain(
                        caughtUp ->
                                findOwn(call)
                                        .map(ifPresent)
                                        .orElseGet(() -> ifAbsent.apply(caughtUp)));
    }

    private Optional<JobsView.Entry> findOwn(Call call) {
        return jobs.find(JobId.of(call.pathSuffix()))
                .filter(entry -> !isOfOtherOrganisation(entry, call));
    }

    private Uni<Boolean> catchUp(Call call) {
        long remainingMillis = call.deadlineMillis() - clock.monotonicMillis();
        if (remainingMillis <= 0 || !freshness.isStoreReachable()) {
            return Uni.createFrom().item(false);
        }
        return refresh.catchUp(Math.min(remainingMillis, ABSENCE_TIMEOUT_MILLIS));
    }

    private static boolean isOfOtherOrganisation(JobsView.Entry entry, Call call) {
        return !call.route().isPublic()
                && !entry.job().orElseThrow().organisation().equals(call.organisation());
    }

    private static Uni<Answer> completed(Answer answer) {
        return Uni.createFrom().item(answer);
    }
}
