package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;

/**
 * Creates fencing tokens. The high bits hold the offset of the log record that made an instance the
 * owner of the job, the low 20 bits the owner's attempt.
 *
 * <p>Use: the entry instance's job runner calls {@code FencingTokens.of(job.ownerOffset(),
 * attempt)}. Tokens increase with each takeover and, under one owner, with each attempt, so that
 * workers refuse a delayed step of an earlier attempt.
 *
 * <p>Stateless and thread-safe.
 */
public final class FencingTokens {

    private static final int ATTEMPT_BITS = 20;
    private static final int MAX_ATTEMPT = (1 << ATTEMPT_BITS) - 1;

    private FencingTokens() {}

    /**
     * Creates a token.
     *
     * @param ownerOffset the offset of the log record that made the instance the owner, above 0
     * @param attempt the owner's attempt at the gang, 0 to 1,048,575
     * @return the token, above 0
     * @throws IllegalArgumentException if a value is out of range
     */
    public static long of(long ownerOffset, int attempt) {
        Checks.range("ownerOffset", ownerOffset, 1, Long.MAX_VALUE >> ATTEMPT_BITS);
        Checks.range("attempt", attempt, 0, MAX_ATTEMPT);
        return ownerOffset << ATTEMPT_BITS | attempt;
    }
}
