package io.cardamomshelf.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;
import io.vertx.mutiny.core.http.HttpServerResponse;
import io.vertx.mutiny.ext.web.RoutingContext;

/**
 * An error response as a problem document of RFC 9457, with verdict, reason and request id.
 *
 * <p>Immutable and thread-safe.
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
record Problem(
        String type,
        String title,
        int status,
        String detail,
        Verdict verdict,
        Reason reason,
        String requestId,
        String field) {

    private static final String TYPE_PREFIX = "urn:cardamomshelf:";
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    static void send(
            RoutingContext context,
            Verdict verdict,
            Reason reason,
            String requestId,
            String field,
            String detail) {
        int status = status(reason);
        Problem problem =
                new Problem(
                        TYPE_PREFIX + reason.name().toLowerCase().replace('_', '-'),
                        title(reason),
                        status,
                        detail,
                        verdict,
                        reason,
                        requestId,
                        field);
        HttpServerResponse response = context.response();
        if (status == UNAVAILABLE || status == TOO_MANY) {
            response.putHeader("Retry-After", RETRY_AFTER_SECONDS);
        }
        response.setStatusCode(status)
                .putHeader("Content-Type", "application/problem+json")
                .endAndForget(Json.write(problem));
    }

    private static int status(Reason reason) {
        return switch (reason) {
            case OK -> OK;
            case INVALID -> BAD_REQUEST;
            case TOO_SLOW -> REQUEST_TIMEOUT;
            case NOT_GRANTED -> FORBIDDEN;
            case UNKNOWN -> NOT_FOUND;
            case KEY_IN_USE -> CONFLICT;
            case NEVER_FITS -> UNPROCESSABLE;
            case OVERLOADED -> TOO_MANY;
            case UNREACHABLE, ANSWER_LOST -> BAD_GATEWAY;
            case DEADLINE -> GATEWAY_TIMEOUT;
            case NO_UPSTREAM, LOG_AWAY, LEAVING -> UNAVAILABLE;
        };
    }

    private static String title(Reason reason) {
        return switch (reason) {
            case OK -> "OK";
            case INVALID -> "The input is wrong";
            case TOO_SLOW -> "The request didn't come whole in time";
            case NOT_GRANTED -> "The organisation has no plan or grant";
            case UNKNOWN -> "There is no such job or path";
            case KEY_IN_USE -> "Another attempt holds the idempotency key";
            case NEVER_FITS -> "The job can never run";
            case OVERLOADED -> "Too many requests in flight";
            case UNREACHABLE -> "No upstream took the request";
            case ANSWER_LOST -> "The upstream's answer was lost";
            case DEADLINE -> "The deadline has passed";
            case NO_UPSTREAM -> "No upstream may take the request now";
            case LOG_AWAY -> "The platform's log is away";
            case LEAVING -> "This instance is leaving";
        };
    }
}
