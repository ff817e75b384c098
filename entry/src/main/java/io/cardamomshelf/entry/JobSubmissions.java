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
 * Accepts, shows and cancels jobs for callers.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobSubmissions {

    /** What became of a job that a caller sent. */
    record Acceptance(Verdict verdict, Reason reason, JobId job, String detail) {}

    /** A job as callers see it. */
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

    private final InstanceIdentity self;
    private final JobTable table;
    private final CapacityState books;
    private final JobLog log;
    private final JobRunner runner;
    private final Events events;

    JobSubmissions(
            InstanceIdentity self,
            JobTable table,
            CapacityState books,
            JobLog log,
            JobRunner runner,
            Events events) {
        this.self = self;
        this.table = table;
        this.books = books;
        this.log = log;
        this.runner = runner;
        this.events = events;
    }

    /**
     * Accepts a job once its record is in the log.
     *
     * @return what became of it; never fails
     */
    Uni<Acceptance> accept(String requestId, JobSpec spec) {
        JobId id = JobId.of("j-" + InstanceIdentity.unique());
        Optional<String> never = books.placer(site -> true).refusalReason(spec);
        if (never.isPresent()) {
            events.publish(EventType.JOB_REFUSED, id.value(), requestId, never.get());
            return Uni.createFrom()
                    .item(new Acceptance(Verdict.NOT_RUN, Reason.NEVER_FITS, id, never.get()));
        }
        return log.append(new JobRecord.Accepted(id, spec, self.run()))
                .map(offset -> accepted(requestId, id))
                .onFailure()
                .recoverWithItem(failure -> refused(requestId, id, failure));
    }

    Uni<Long> cancel(JobId id) {
        return log.append(new JobRecord.Cancelled(id));
    }

    Optional<View> show(JobId id) {
        return table.job(id).map(this::view);
    }

    /** Returns the jobs that haven't ended, for operators. */
    OperatorViews.Jobs open() {
        return new OperatorViews.Jobs(table.open().stream().map(this::operatorsView).toList());
    }

    private OperatorViews.JobView operatorsView(JobTable.Job job) {
        return new OperatorViews.JobView(
                job.id(),
                job.spec().organisation(),
                job.spec().demand().accelerators(),
                state(job, books.fleet().allocation(job.id())),
                job.owner(),
                runner.waitReason(job.id()));
    }

    private Acceptance accepted(String requestId, JobId id) {
        events.publish(EventType.JOB_ACCEPTED, id.value(), requestId, "");
        return new Acceptance(Verdict.NOT_RUN, Reason.OK, id, "");
    }

    private Acceptance refused(String requestId, JobId id, Throwable failure) {
        Verdict verdict = PlatformException.verdictOf(failure);
        String detail = verdict == Verdict.NOT_RUN ? "" : "job " + id + " may have been accepted";
        events.publish(EventType.JOB_REFUSED, id.value(), requestId, "log: " + verdict);
        return new Acceptance(verdict, Reason.LOG_AWAY, id, detail);
    }

    private View view(JobTable.Job job) {
        Optional<Allocation> cells = books.fleet().allocation(job.id());
        return new View(
                job.id(),
                state(job, cells),
                job.owner().value(),
                cells.map(made -> made.placement().dataCentre()).orElse(null),
                cells.map(made -> made.placement().slices()).orElse(List.of()),
                runner.waitReason(job.id()),
                job.end().map(JobRecord.Ended::result).orElse(null),
                job.end().map(JobRecord.Ended::detail).orElse(""));
    }

    private String state(JobTable.Job job, Optional<Allocation> cells) {
        if (job.end().isPresent()) {
            return "ENDED";
        }
        if (job.cancelled()) {
            return "CANCELLING";
        }
        if (cells.isEmpty()) {
            return "QUEUED";
        }
        return runner.isStarting(job.id()) ? "STARTING" : "RUNNING";
    }
}
