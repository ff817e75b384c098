package io.cardamomshelf.node.ingress;

import io.vertx.mutiny.core.buffer.Buffer;

/**
 * The HTTP response to a call.
 *
 * @param status the HTTP status
 * @param body the body, not null
 * @param retryAfterSeconds when the caller should retry, in seconds; 0 for no {@code Retry-After}
 *     header
 */
record Answer(int status, Buffer body, int retryAfterSeconds) {

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int GONE = 410;
    static final int TOO_LARGE = 413;
    static final int TOO_MANY = 429;
    static final int UNAVAILABLE = 503;
    static final int OUTCOME_UNKNOWN = 504;

    private static final int FIRST_ERROR = 400;

    boolean isError() {
        return status >= FIRST_ERROR;
    }
}
