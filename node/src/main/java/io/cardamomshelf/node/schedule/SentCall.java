package io.cardamomshelf.node.schedule;

/**
 * When a call to a worker was sent, and the worker's incarnation that was known then.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bornMillis the incarnation, in milliseconds since 1970
 * @param sentMillis the time on the monotonic clock, in milliseconds
 */
record SentCall(long bornMillis, long sentMillis) {}
