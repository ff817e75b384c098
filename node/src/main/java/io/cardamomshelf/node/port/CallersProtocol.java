package io.cardamomshelf.node.port;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The names and formats of callers' HTTP requests and responses on the platform.
 *
 * <p>Use: called by the HTTP server for callers; implemented by the platform's adapter.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface CallersProtocol {

    /**
     * Reads the API key of a call.
     *
     * @param request the call, not null
     * @return the key, empty if there is none
     */
    Optional<String> key(HttpServerRequest request);

    /**
     * Reads how long the caller will wait for the answer.
     *
     * @param request the call, not null
     * @return milliseconds from the call's start, empty if the call doesn't state it
     */
    OptionalLong deadlineMillis(HttpServerRequest request);

    /**
     * Returns whether a text is a valid job identifier.
     *
     * @param text the end of a call's path, not null
     * @return true if it is valid
     */
    boolean isJobId(String text);

    /**
     * Parses a submission.
     *
     * @param body the body, not null
     * @return the job request, never null
     * @throws MalformedException if the body is malformed; the message names the field
     */
    JobRequest parseRequest(Buffer body) throws MalformedException;

    /**
     * Formats the response with a job's state.
     *
     * @param state the state, not null
     * @return the body, never null
     */
    Buffer formatState(JobState state);

    /**
     * Formats the response with the number of a queue's pending jobs.
     *
     * @param pending the number, 0 or more
     * @return the body, never null
     */
    Buffer formatPending(long pending);

    /**
     * Formats the response to a call that didn't succeed.
     *
     * @param reason the reason in a short text, not null
     * @return the body, never null
     */
    Buffer formatRefusal(String reason);

    /** Thrown if a submission exceeds the limits of a document. */
    final class ExcessiveException extends MalformedException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param message the limit, not null
         */
        public ExcessiveException(String message) {
            super(message);
        }
    }

    /** Thrown if a submission is malformed. */
    class MalformedException extends Exception {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param message the name of the field and what is wrong with it, not null
         */
        public MalformedException(String message) {
            super(message);
        }
    }
}
