package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.JobId;
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
import io.cardamomshelf.node.port.CallersProtocol.MalformedException;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/**
 * Answers callers' submissions, questions and cancellations.
 *
 * <p>A success is given only for what is stored; a refusal that says "not accepted" only for what
 * certainly isn't and won't be; anything else is told as unknown.
 */
final class JobService {

    /** When to try again what no worker could run, in seconds: workers join within such a time. */
    private static final int UNSERVABLE_RETRY_SECONDS = 10;

    /** When to try the store again, in seconds: outages end within seconds. */
    private static final int RETRY_SECONDS = 1;

    private final CallersProtocol protocol;
    private final JobsView jobs;
    private final WorkersView workers;
    private final CallerAppend append;
    private final Freshness freshness;
    private final Clock clock;

    JobService(
            CallersProtocol protocol,
            JobsView jobs,
            WorkersView workers,
            CallerAppend append,
            Freshness freshness,
            Clock clock) {
        this.protocol = protocol;
        this.jobs = jobs;
        this.workers = workers;
        this.append = append;
        this.freshness = freshness;
        this.clock = clock;
    }

    /** A repeat of a submission is answered like the first, whoever took that. */
    Uni<Answer> submit(Call call) {
        JobId id = JobId.of(call.name());
        Optional<JobsView.Entry> known = jobs.find(id);
        if (known.isPresent()) {
            return isForeign(known.get(), call)
                    ? refusal(Answer.FORBIDDEN, "the job belongs to another organisation")
                    : repeated(id, known.get());
        }
        if (!freshness.isStoreReachable()) {
            return refusal(Answer.UNAVAILABLE, "the store doesn't answer here");
        }
        JobRequest request;
        try {
            request = protocol.parseRequest(call.body());
        } catch (MalformedException e) {
            return refusal(Answer.BAD_REQUEST, e.getMessage());
        }
        Optional<String> obstacle =
                Feasibility.obstacle(request, call.route().policy().service(), workers.registered());
        if (obstacle.isPresent()) {
            return item(
                    new Answer(
                            Answer.TOO_MANY,
                            protocol.formatRefusal(obstacle.get()),
                            UNSERVABLE_RETRY_SECONDS));
        }
        TaskJob job =
                new TaskJob(
                        id,
                        call.organisation(),
                        call.route().policy(),
                        clock.now().wallMillis(),
                        request);
        return append(JobRecords.accepted(job), call).map(outcome -> submitted(outcome, job));
    }

    Uni<Answer> show(Call call) {
        Optional<JobsView.Entry> known = jobs.find(JobId.of(call.name()));
        if (known.isPresent() && !isForeign(known.get(), call)) {
            return state(known.get());
        }
        return unknownJob();
    }

    Uni<Answer> cancel(Call call) {
        JobId id = JobId.of(call.name());
        Optional<JobsView.Entry> known = jobs.find(id);
        if (known.isEmpty() || isForeign(known.get(), call)) {
            return unknownJob();
        }
        if (known.get().isCancelled() || known.get().state().isEnded()) {
            return state(known.get());
        }
        return append(JobRecords.cancelled(id), call)
                .map(outcome -> cancelled(outcome, id, known.get()));
    }

    Uni<Answer> pending(Call call) {
        if (!freshness.isAbsenceProven()) {
            return refusal(Answer.UNAVAILABLE, "the number of jobs isn't current here");
        }
        long pending = jobs.countPending(call.route().policy().name());
        return item(new Answer(Answer.OK, protocol.formatPending(pending), 0));
    }

    Uni<Answer> refusal(int status, String reason) {
        int retry = status == Answer.UNAVAILABLE ? RETRY_SECONDS : 0;
        return item(new Answer(status, protocol.formatRefusal(reason), retry));
    }

    private Uni<AppendOutcome> append(StoredRecord record, Call call) {
        return append.append(record, call.untilMillis());
    }

    private Answer submitted(AppendOutcome outcome, TaskJob job) {
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
            return new Answer(Answer.OK, protocol.formatState(jobState(job.id())), 0);
        }
        return unsettled(outcome);
    }

    private Uni<Answer> repeated(JobId id, JobsView.Entry entry) {
        EventLog.of(NodeEvent.JOB_REPEATED)
                .with("job", id)
                .with("state", entry.state())
                .with("jobsAgeMillis", freshness.jobsAgeMillis())
                .write();
        return state(entry);
    }

    private Answer cancelled(AppendOutcome outcome, JobId id, JobsView.Entry entry) {
        if (outcome instanceof AppendOutcome.Stored stored) {
            EventLog.of(NodeEvent.JOB_CANCELLED)
                    .with("job", id)
                    .with("offset", stored.offset())
                    .with("state", entry.progress().state())
                    .write();
            return new Answer(Answer.OK, protocol.formatState(entry.state()), 0);
        }
        return unsettled(outcome);
    }

    private Answer unsettled(AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Refused refused) {
            return new Answer(
                    Answer.UNAVAILABLE, protocol.formatRefusal(refused.reason()), RETRY_SECONDS);
        }
        return new Answer(
                Answer.OUTCOME_UNKNOWN,
                protocol.formatRefusal("it isn't known whether the call was stored"),
                0);
    }

    private JobState jobState(JobId id) {
        return jobs.find(id).map(JobsView.Entry::state).orElse(JobState.QUEUED);
    }

    private Uni<Answer> state(JobsView.Entry entry) {
        return item(new Answer(Answer.OK, protocol.formatState(entry.state()), 0));
    }

    private Uni<Answer> unknownJob() {
        return freshness.isAbsenceProven()
                ? refusal(Answer.GONE, "there is no such job")
                : refusal(Answer.UNAVAILABLE, "the jobs aren't current here");
    }

    private static boolean isForeign(JobsView.Entry entry, Call call) {
        return !call.route().isPublic()
                && !entry.job().orElseThrow().organisation().equals(call.organisation());
    }

    private static Uni<Answer> item(Answer answer) {
        return Uni.createFrom().item(answer);
    }
}
