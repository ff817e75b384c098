package io.cardamomshelf.entry;

import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;

/**
 * The answer to a caller's request. Entries also exchange it as JSON.
 *
 * <p>Immutable and thread-safe.
 *
 * @param verdict whether the request ran, not null
 * @param reason the reason for the verdict, not null
 * @param attempts the number of upstreams to which the request was sent
 * @param answer the upstream's complete answer, empty unless the request ran, not null
 */
record Answer(Verdict verdict, Reason reason, int attempts, String answer) {

    static Answer notRun(Reason reason) {
        return new Answer(Verdict.NOT_RUN, reason, 0, "");
    }

    static Answer mayHaveRun(Reason reason) {
        return new Answer(Verdict.MAY_HAVE_RUN, reason, 0, "");
    }
}
