package io.cardamomshelf.client;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/**
 * The {@code Content-Digest} field of RFC 9530 with SHA-256.
 *
 * <p>Use: {@code Digest.of(bytes)} equals the header of a whole answer.
 *
 * <p>Stateless and thread-safe.
 */
public final class Digest {

    /** The header's name. */
    public static final String HEADER = "Content-Digest";

    private Digest() {}

    /**
     * Returns the header's value.
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
