package io.cardamomshelf.node.ingress;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.util.function.Consumer;

/**
 * Answers requests of the platform's own checks, which have no body. The connection of a request
 * with a body is closed after the answer, so that nothing more of it is read.
 *
 * <p>Stateless and thread-safe.
 */
final class BodilessRequests {

    private BodilessRequests() {}

    static void answer(HttpServerRequest request, Buffer body, Consumer<Throwable> undelivered) {
        boolean hasBody = hasBody(request);
        request.response()
                .end(body)
                .chain(() -> hasBody ? request.connection().close() : Uni.createFrom().voidItem())
                .subscribe()
                .with(done -> {}, undelivered);
    }

    private static boolean hasBody(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        return request.getHeader("Transfer-Encoding") != null
                || length != null && !length.equals("0");
    }
}
