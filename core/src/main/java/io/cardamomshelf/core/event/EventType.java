package io.cardamomshelf.core.event;

/**
 * The types of events. Each has a number whose meaning never changes.
 *
 * <p>Use: {@code events.publish(EventType.GANG_STARTED, job.value(), cause, detail)}. Numbers are
 * grouped by hundreds: 1xx process, 2xx configuration, 3xx membership, 4xx requests, 5xx jobs, 6xx
 * workers. A test compares {@code docs/EVENTS.md} with this list.
 *
 * <p>Immutable and thread-safe.
 */
public enum EventType {
    /** The process accepts requests. */
    PROCESS_STARTED(101, "The process has bound its listeners and accepts requests."),
    /** The process has begun its graceful shutdown. */
    PROCESS_LEAVING(102, "The process accepts no new work and finishes the work that it has."),
    /** The process has ended its graceful shutdown. */
    PROCESS_STOPPED(103, "The process has finished all its work and exits."),
    /** An edit is in force. */
    EDIT_ACCEPTED(201, "An edit of the two lists is in force on this instance."),
    /** An edit was refused by the fold. */
    EDIT_REFUSED(
            202, "An edit conflicts with an earlier one, is a repeat or has an unknown format."),
    /** An unreadable record of the log was skipped. */
    RECORD_SKIPPED(203, "A record of the log can't be read and was skipped."),
    /** The log is unreachable. */
    LOG_AWAY(204, "The platform's log is unreachable; the last state stays in force."),
    /** The log is reachable again. */
    LOG_BACK(205, "The platform's log is reachable again."),
    /** Records of the log expired before they were read. */
    LOG_GAP(
            206,
            "Records expired before this instance read them; it needs a snapshot or peer state."),
    /** A snapshot of the lists was appended. */
    SNAPSHOT_APPENDED(207, "A snapshot of the two lists was appended before older records expire."),
    /** A connection to a peer was opened. */
    PEER_CONNECTED(301, "A connection to another entry instance was opened."),
    /** A connection to a peer was lost. */
    PEER_LOST(302, "A connection to another entry instance was lost."),
    /** A frame of a peer can't be read. */
    FRAME_REFUSED(303, "A peer sent a frame that can't be read; its connection was closed."),
    /** A request was answered. */
    REQUEST_ANSWERED(401, "A request ended with a verdict and a reason."),
    /** An attempt at an upstream failed. */
    ATTEMPT_FAILED(402, "An attempt of a request at an upstream failed."),
    /** Another attempt holds the idempotency key. */
    CLAIM_LOST(403, "Another attempt holds the idempotency key; this one did not run."),
    /** A job was accepted. */
    JOB_ACCEPTED(501, "A job was accepted; the acceptance is in the log."),
    /** A job was refused. */
    JOB_REFUSED(502, "A job was refused and did not run."),
    /** A job can't be placed now. */
    JOB_WAITING(503, "A job can't be placed now; the detail gives the reason."),
    /** A job was placed. */
    JOB_PLACED(504, "Cells were chosen for every member of a gang."),
    /** All members of a gang are held. */
    GANG_HELD(505, "Every member's lease is held."),
    /** The gang's commit succeeded. */
    GANG_COMMITTED(506, "The commit on the lead member's lease succeeded."),
    /** All members of a gang run. */
    GANG_STARTED(507, "Every member of the gang runs."),
    /** A gang was aborted. */
    GANG_ABORTED(508, "A step failed; every member was stopped and released."),
    /** A job ended. */
    JOB_ENDED(509, "A job ended; the detail gives its result."),
    /** A job was cancelled. */
    JOB_CANCELLED(510, "A job was cancelled by its caller."),
    /** A borrowing job was stopped to free capacity for a guarantee. */
    JOB_RECLAIMED(511, "A job on borrowed cells was stopped to free them for a guaranteed shape."),
    /** A guarantee can't be packed. */
    GUARANTEE_UNMET(512, "A guaranteed shape can't be packed on the workers that are present."),
    /** A guarantee can be packed again. */
    GUARANTEE_MET(513, "Every guaranteed shape of a data centre can be packed again."),
    /** A job of another instance was taken over. */
    JOB_TAKEN_OVER(514, "This instance took over a job whose owner is no longer a live member."),
    /** A worker has reported for the first time. */
    WORKER_SEEN(601, "A worker's first report was received."),
    /** A worker has stopped reporting. */
    WORKER_LOST(602, "A worker has stopped reporting."),
    /** A worker gets no new work. */
    WORKER_QUARANTINED(
            603,
            "Tasks or requests failed repeatedly on a worker; it gets no new work except a probe."),
    /** A worker gets work again. */
    WORKER_RESTORED(604, "A quarantined worker passed its probe.");

    private final int number;
    private final String meaning;

    EventType(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the event's number.
     *
     * @return the number, 101 to 699
     */
    public int number() {
        return number;
    }

    /**
     * Returns the meaning of the event, in one sentence.
     *
     * @return the sentence, never null
     */
    public String meaning() {
        return meaning;
    }
}
