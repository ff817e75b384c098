package io.cardamomshelf.node.port;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The names and formats that callers use.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface CallersProtocol {

    /**
     * Reads the key that a call presents.
     *
     * @param request the call, not null
     * @return the key, empty if there is none
     */
    Optional<String> key(HttpServerRequest request);

    /**
     * Reads how long the caller waits.
     *
     * @param request the call, not null
     * @return milliseconds from the call's start, empty if it doesn't say
     */
    OptionalLong deadlineMillis(HttpServerRequest request);

    /**
     * Asks whether a text can name a job.
     *
     * @param text the end of a call's path, not null
     * @return true if it is an identifier
     */
    boolean isJobId(String text);

    /**
     * Reads a submission.
     *
     * @param body the body, not null
     * @return what is asked for, never null
     * @throws MalformedException if it can't be read; it names the field
     */
    JobRequest parseRequest(Buffer body) throws MalformedException;

    /**
     * Writes a job's state.
     *
     * @param state the state, not null
     * @return the body, never null
     */
    Buffer formatState(JobState state);

    /**
     * Writes the number of jobs that wait.
     *
     * @param pending the number
     * @return the body, never null
     */
    Buffer formatPending(long pending);

    /**
     * Writes why a call got no success.
     *
     * @param reason a short text, not null
     * @return the body, never null
     */
    Buffer formatRefusal(String reason);

    /** Says that a submission can't be read. */
    final class MalformedException extends Exception {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param message the field and what is wrong, not null
         */
        public MalformedException(String message) {
            super(message);
        }
    }
}
