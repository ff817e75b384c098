package io.cardamomshelf.sessions;

/** Something that callers or workers have seen, or a disruption that the soak caused. */
sealed interface SoakEvent {

    /** Returns when it happened, in Unix milliseconds. */
    long at();

    /** A worker has started; it runs nothing. */
    record Up(long at, String worker) implements SoakEvent {}

    /** The process of a worker was killed. */
    record Down(long at, String worker) implements SoakEvent {}

    /** A worker's lease was extended to a time. */
    record Leased(long at, String worker, long until) implements SoakEvent {}

    /** A worker has begun a run, on the order of a caller with a fencing token. */
    record Began(
            long at, String worker, String task, long run, String spec, long token, String caller)
            implements SoakEvent {

        /** Returns the identifier of the task's job. */
        String job() {
            return task.substring(0, task.indexOf('.'));
        }
    }

    /** A run has ended; {@code number} is the end's number in the worker's life. */
    record Ended(long at, String worker, String task, long run, String outcome, long number)
            implements SoakEvent {}

    /** All ends of a worker up to a number were acknowledged. */
    record Acknowledged(long at, String worker, long number) implements SoakEvent {}

    /** A worker took a call with a fencing token. */
    record Called(long at, String worker, String caller, long token) implements SoakEvent {}

    /**
     * A client's call for a job.
     *
     * @param at when it was sent
     * @param answeredAt when it was answered or given up
     * @param status the answer's status, 0 for no answer
     * @param state the job's state in the answer, empty if it has none
     * @param failure why there was no answer, empty if there was one
     */
    record Call(
            long at,
            long answeredAt,
            String instance,
            String method,
            String job,
            int status,
            String state,
            String failure)
            implements SoakEvent {

        /** Checks whether the call was answered with success. */
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /** Checks whether the call was rejected. */
        boolean isRejected() {
            return status == 429 || status == 503;
        }
    }

    /** A disruption of an instance, a worker, or the {@code store}. */
    record Disruption(long at, long until, String target) implements SoakEvent {}

    /**
     * Parses a line that a process of workers has printed.
     *
     * @param line the fields, separated by tabs, not null
     * @return the event, never null
     */
    static SoakEvent parse(String line) {
        String[] f = line.split("\t", -1);
        long at = Long.parseLong(f[0]);
        return switch (f[1]) {
            case "up" -> new Up(at, f[2]);
            case "leased" -> new Leased(at, f[2], Long.parseLong(f[3]));
            case "began" ->
                    new Began(
                            at, f[2], f[3], Long.parseLong(f[4]), f[5], Long.parseLong(f[6]), f[7]);
            case "ended" ->
                    new Ended(at, f[2], f[3], Long.parseLong(f[4]), f[5], Long.parseLong(f[6]));
            case "acknowledged" -> new Acknowledged(at, f[2], Long.parseLong(f[3]));
            case "called" -> new Called(at, f[2], f[3], Long.parseLong(f[4]));
            default -> throw new IllegalArgumentException("unknown event: " + line);
        };
    }
}
