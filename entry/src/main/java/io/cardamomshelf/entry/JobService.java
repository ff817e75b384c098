package io.cardamomshelf.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.client.PlatformException;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobSpec;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * Accepts, cancels and returns jobs, for {@link CallersApi} and {@link OperatorsApi}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobService {

    /** The result of submitting a job. */
    record SubmitResult(Verdict verdict, Reason reason, JobId job, String detail) {}

    /** A job as returned to callers. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record View(
            JobId job,
            String state,
            String owner,
            DataCentreId dataCentre,
            List<Slice> members,
            String waitsFor,
            JobRecord.Result result,
            String detail) {}

    private final InstanceIdentity identity;
    private final JobTable table;
    private final CapacityState capacity;
    private final JobLog log;
    private final JobRunner runner;
    private final Events events;

    JobService(
            InstanceIdentity identity,
            JobTable table,
            CapacityState capacity,
            JobLog log,
            JobRunner runner,
            Events events) {
        this.identity = identity;
        this.table = table;
        this.capacity = capacity;
        this.log = log;
        this.runner = runner;
        this.events = events;
    }

    /**
     * Accepts a job once its record is in the log.
     *
     * @return whether it was accepted; never fails
     */
    Uni<SubmitResult> submit(String requestId, JobSpec spec) {
        JobId id = JobId.of("j-" + InstanceIdentity.uniqueId());
        Optional<String> refusalReason = capacity.placer(dataCentre -> true).refusalReason(spec);
        if (refusalReason.isPresent()) {
            events.publish(EventType.JOB_REFUSED, id.value(), requestId, refusalReason.get());
            return Uni.createFrom()
                    .item(
                            new SubmitResult(
                                    Verdict.NOT_RUN, Reason.NEVER_FITS, id, refusalReason.get()));
        }
        return log.appendAccepted(requestId, new JobRecord.Accepted(id, spec, identity.runId()))
                .map(offset -> new SubmitResult(Verdict.NOT_RUN, Reason.OK, id, ""))
                .onFailure()
                .recoverWithItem(failure -> refused(requestId, id, failure));
    }

    Uni<Long> cancel(JobId id) {
        return log.append(new JobRecord.Cancelled(id));
    }

    Optional<View> findView(JobId id) {
        return table.job(id).map(this::view);
    }

    /**
     * Finds a job, after reading the log if it isn't known here: it may have been accepted a moment
     * ago. Fails if the log can't be read.
     */
    Uni<Optional<View>> findCurrentView(JobId id) {
        Optional<View> known = findView(id);
        return known.isPresent()
                ? Uni.createFrom().item(known)
                : log.catchUp().map(done -> findView(id));
    }

    /** Returns the jobs that haven't ended, for operators. */
    OperatorViews.Jobs openJobs() {
        return new OperatorViews.Jobs(table.open().stream().map(this::operatorsView).toList());
    }

    private OperatorViews.JobView operatorsView(JobTable.Job job) {
        return new OperatorViews.JobView(
                job.id(),
                job.spec().organisation(),
                job.spec().demand().accelerators(),
                state(job, capacity.fleet().allocation(job.id())),
                job.owner(),
                runner.waitReason(job.id()));
    }

    private SubmitResult refused(String requestId, JobId id, Throwable failure) {
        Verdict verdict = PlatformException.verdictOf(failure);
        String detail = verdict == Verdict.NOT_RUN ? "" : "job " + id + " may have been accepted";
        events.publish(EventType.JOB_REFUSED, id.value(), requestId, "log: " + verdict);
        return new SubmitResult(verdict, Reason.LOG_AWAY, id, detail);
    }

    private View view(JobTable.Job job) {
        Optional<Allocation> allocation = capacity.fleet().allocation(job.id());
        return new View(
                job.id(),
                state(job, allocation),
                job.owner().value(),
                allocation.map(cells -> cells.placement().dataCentre()).orElse(null),
                allocation.map(cells -> cells.placement().slices()).orElse(List.of()),
                runner.waitReason(job.id()),
                job.end().map(JobRecord.Ended::result).orElse(null),
                job.end().map(JobRecord.Ended::detail).orElse(""));
    }

    private String state(JobTable.Job job, Optional<Allocation> allocation) {
        if (job.end().isPresent()) {
            return "ENDED";
        }
        if (job.cancelled()) {
            return "CANCELLING";
        }
        if (allocation.isEmpty()) {
            return "QUEUED";
        }
        return runner.hasPendingChange(job.id()) ? "STARTING" : "RUNNING";
    }
}
