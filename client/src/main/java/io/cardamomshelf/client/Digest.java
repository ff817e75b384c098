package io.cardamomshelf.client;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/**
 * Computes the {@code Content-Digest} header of RFC 9530 with SHA-256.
 *
 * <p>Use: a response is complete if {@code Digest.of(body)} equals its header {@link #HEADER}.
 *
 * <p>Stateless and thread-safe.
 */
public final class Digest {

    /** The header's name. */
    public static final String HEADER = "Content-Digest";

    private Digest() {}

    /**
     * Returns the header's value for a body.
     *
     * @param body the body, not null
     * @return the value, never null
     */
    public static String of(byte[] body) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(body);
            return "sha-256=:" + Base64.getEncoder().encodeToString(hash) + ":";
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }
}
