package io.cardamomshelf.http;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Context;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpClientRequest;
import io.vertx.mutiny.core.http.HttpClientResponse;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Sends HTTP requests, and limits the time until the end of the response.
 *
 * <p>Use: {@code exchanges.send(options, connection -> body, Limits.of(900))}.
 *
 * <p>A connection can go silent without being reset, also in the midst of a response. The timeout
 * of an HTTP client ends with the head of the response, so it doesn't cover that. Here an exchange
 * that exceeds a limit fails with a {@link TimeoutException} and its connection is closed, so that
 * it doesn't occupy a place in the pool.
 *
 * <p>Thread-safe.
 */
public final class HttpExchanges {

    /**
     * The limits of one exchange.
     *
     * @param silenceMillis the longest time without a part of the response, in milliseconds, from
     *     1; it includes the time until the request is sent
     * @param totalMillis the longest time until the end of the response, in milliseconds
     */
    public record Limits(long silenceMillis, long totalMillis) {

        /**
         * Returns limits of which only the total applies.
         *
         * @param totalMillis the longest time until the end of the response, in milliseconds
         * @return the limits, never null
         */
        public static Limits of(long totalMillis) {
            return new Limits(totalMillis, totalMillis);
        }
    }

    /**
     * A whole response.
     *
     * @param head the head of the response, not null
     * @param body the body, not null, empty if there is none
     * @param connection the connection on which it was received, not null
     */
    public record Response(HttpClientResponse head, Buffer body, HttpConnection connection) {

        /**
         * Returns the status.
         *
         * @return the status code
         */
        public int status() {
            return head.statusCode();
        }

        /**
         * Returns a header of the response.
         *
         * @param name the header's name, not null
         * @return its value, null if it is missing
         */
        public String header(String name) {
            return head.getHeader(name);
        }
    }

    private final Vertx vertx;
    private final HttpClient client;

    /**
     * Creates a client with a pool of connections of its own.
     *
     * @param vertx the event loops, not null
     * @param options the options of the connections and the pool, not null
     */
    public HttpExchanges(Vertx vertx, HttpClientOptions options) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(options);
    }

    /**
     * Sends a request.
     *
     * @param options the request's head, not null
     * @param body makes the body for the connection on which it is sent, not null; its result is
     *     null for a request without a body
     * @param limits the limits of the exchange, not null
     * @return the response, whatever its status; fails with a {@link ConnectException} if the
     *     request wasn't sent for want of a connection, with a {@link TimeoutException} if a limit
     *     is exceeded after that, or with the failure of the connection
     */
    public Uni<Response> send(
            RequestOptions options, Function<HttpConnection, Buffer> body, Limits limits) {
        // Removes the request from the queue for a connection; later limits are kept here.
        RequestOptions limited = new RequestOptions(options).setTimeout(limits.silenceMillis());
        return Uni.createFrom()
                .emitter(emitter -> new Exchange(body, limits, emitter).start(limited));
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** One request and its response. Belongs to one event loop. */
    private final class Exchange {

        private final Function<HttpConnection, Buffer> content;
        private final Limits limits;
        private final UniEmitter<? super Response> emitter;
        private final Buffer body = Buffer.buffer();
        private final long startMillis = monotonicMillis();
        private long lastPartMillis = startMillis;
        private long timer;
        private boolean ended;

        /** Null until there is a connection for it. */
        private HttpClientRequest request;

        Exchange(
                Function<HttpConnection, Buffer> content,
                Limits limits,
                UniEmitter<? super Response> emitter) {
            this.content = content;
            this.limits = limits;
            this.emitter = emitter;
        }

        void start(RequestOptions options) {
            if (Context.isOnEventLoopThread()) {
                sendRequest(options);
            } else {
                vertx.getOrCreateContext().runOnContext(() -> sendRequest(options));
            }
        }

        private void sendRequest(RequestOptions options) {
            setTimer();
            client.request(options)
                    .onFailure(TimeoutException.class)
                    .transform(failure -> new ConnectException(failure.getMessage()))
                    .chain(this::sendOnConnection)
                    .subscribe()
                    .with(this::headReceived, this::fail);
        }

        private Uni<HttpClientResponse> sendOnConnection(HttpClientRequest connected) {
            request = connected;
            if (ended) {
                connected.reset();
                return Uni.createFrom().nothing();
            }
            Buffer sent = content.apply(connected.connection().getDelegate());
            return sent == null ? connected.send() : connected.send(sent);
        }

        private void headReceived(HttpClientResponse response) {
            lastPartMillis = monotonicMillis();
            response.exceptionHandler(this::fail)
                    .endHandler(() -> complete(response))
                    .handler(this::append);
        }

        private void append(Buffer part) {
            body.appendBuffer(part);
            lastPartMillis = monotonicMillis();
        }

        private void complete(HttpClientResponse response) {
            if (end()) {
                emitter.complete(new Response(response, body, request.connection().getDelegate()));
            }
        }

        private void fail(Throwable failure) {
            if (end()) {
                emitter.fail(failure);
            }
        }

        private boolean end() {
            boolean isFirst = !ended;
            ended = true;
            vertx.cancelTimer(timer);
            return isFirst;
        }

        private void setTimer() {
            timer = vertx.setTimer(Math.max(1, remainingMillis()), id -> checkLimits());
        }

        private long remainingMillis() {
            long limitMillis =
                    Math.min(
                            startMillis + limits.totalMillis(),
                            lastPartMillis + limits.silenceMillis());
            return limitMillis - monotonicMillis();
        }

        private void checkLimits() {
            if (remainingMillis() > 0) {
                setTimer();
                return;
            }
            if (request == null) {
                fail(new ConnectException("no connection in time"));
                return;
            }
            // Failed before the reset, which would make it look like a lost connection.
            fail(new TimeoutException("no whole response in time, " + body.length() + " bytes"));
            request.reset();
        }
    }
}
