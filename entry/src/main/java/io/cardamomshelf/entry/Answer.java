package io.cardamomshelf.entry;

import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;

/**
 * What a caller is told about a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param verdict whether it ran, not null
 * @param reason why the answer is what it is, not null
 * @param attempts how many upstreams were sent the request
 * @param answer the upstream's whole answer, empty unless it ran, not null
 */
record Answer(Verdict verdict, Reason reason, int attempts, String answer) {

    static Answer notRun(Reason reason) {
        return new Answer(Verdict.NOT_RUN, reason, 0, "");
    }

    static Answer mayHaveRun(Reason reason) {
        return new Answer(Verdict.MAY_HAVE_RUN, reason, 0, "");
    }
}
