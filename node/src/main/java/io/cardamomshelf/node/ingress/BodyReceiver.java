package io.cardamomshelf.node.ingress;

import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.util.function.BiConsumer;

/**
 * Receives the body of one request within the budget for bodies, or discards it.
 *
 * <p>Use: {@code receiver.start()}; {@code receiver.release()} once the request is answered.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class BodyReceiver implements ByteBudget.Holder {

    /** How the reception ended. */
    enum Outcome {
        /** The whole body was received, or discarded. */
        COMPLETE,
        /** The body is longer than the limit. */
        TOO_LONG,
        /** The budget for all bodies is used up. */
        OVER_BUDGET
    }

    private final HttpServerRequest request;
    private final int maxBytes;
    private final boolean keeping;
    private final ByteBudget budget;
    private final BiConsumer<Outcome, Buffer> ended;
    private Buffer body = Buffer.buffer();
    private long receivedBytes;
    private boolean hasEnded;

    /** Creates a receiver; unless {@code keeping}, the body is discarded. */
    BodyReceiver(
            HttpServerRequest request,
            int maxBytes,
            boolean keeping,
            ByteBudget budget,
            BiConsumer<Outcome, Buffer> ended) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.keeping = keeping;
        this.budget = budget;
        this.ended = ended;
    }

    void start() {
        if (declaredBytes() > maxBytes) {
            end(Outcome.TOO_LONG);
            return;
        }
        request.handler(this::receive);
        request.endHandler(() -> end(Outcome.COMPLETE));
    }

    /** Frees the body, also before it is complete; the receiver reports nothing more. */
    void release() {
        hasEnded = true;
        body = null;
        budget.release(this);
    }

    @Override
    public void evict() {
        end(Outcome.OVER_BUDGET);
    }

    private void receive(Buffer chunk) {
        if (hasEnded) {
            return;
        }
        receivedBytes += chunk.length();
        if (receivedBytes > maxBytes) {
            end(Outcome.TOO_LONG);
        } else if (keeping) {
            if (budget.hold(this, receivedBytes)) {
                body.appendBuffer(chunk);
            } else {
                end(Outcome.OVER_BUDGET);
            }
        }
    }

    private void end(Outcome outcome) {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        Buffer received = body;
        if (outcome == Outcome.COMPLETE) {
            budget.keep(this);
        } else {
            body = null;
            budget.release(this);
        }
        ended.accept(outcome, received);
    }

    /** Returns the length that the request declares, 0 if it declares none. */
    private long declaredBytes() {
        String length = request.getHeader("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length.trim());
        } catch (NumberFormatException e) {
            // The HTTP codec has refused what is no length; here it only means an unknown one.
            return 0;
        }
    }
}
