package org.acaciafold.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;

/** Creates and verifies proofs that a host has the cluster secret; the secret itself is never sent. */
final class ClusterSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final int MIN_SECRET_LENGTH = 8;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    private ClusterSecret(SecretKeySpec key) {
        this.key = key;
    }

    /**
     * Creates a prover and verifier for a secret.
     *
     * @param secret the secret, at least 8 characters
     * @return the prover and verifier
     * @throws AcaciafoldException if the secret is too short
     */
    static ClusterSecret of(String secret) throws AcaciafoldException {
        if (secret.length() < MIN_SECRET_LENGTH) {
            String message = "the cluster secret is shorter than " + MIN_SECRET_LENGTH + " characters";
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, "cluster", "secret-too-short", message));
        }
        return new ClusterSecret(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /** Returns random bytes for use on a single connection. */
    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /**
     * Returns a proof of the secret that is valid for one connection.
     *
     * @param side the side that proves the secret
     * @param handshake the identifiers and nonces of both hosts
     * @return the proof
     */
    byte[] prove(Side side, Handshake handshake) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            update(mac, side.name().getBytes(StandardCharsets.UTF_8));
            update(mac, handshake.connecting().value().getBytes(StandardCharsets.UTF_8));
            update(mac, handshake.connectingNonce());
            update(mac, handshake.accepting().value().getBytes(StandardCharsets.UTF_8));
            update(mac, handshake.acceptingNonce());
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime does not provide " + ALGORITHM, e);
        }
    }

    /**
     * Verifies a proof in constant time.
     *
     * @param side the side that proves the secret
     * @param handshake the identifiers and nonces of both hosts
     * @param proof the proof
     * @return whether the proof is valid and both nonces have the required length
     */
    boolean verify(Side side, Handshake handshake, byte[] proof) {
        boolean fresh =
                handshake.connectingNonce().length == NONCE_BYTES && handshake.acceptingNonce().length == NONCE_BYTES;
        return fresh && MessageDigest.isEqual(prove(side, handshake), proof);
    }

    private static void update(Mac mac, byte[] part) {
        mac.update((byte) (part.length >>> 8));
        mac.update((byte) part.length);
        mac.update(part);
    }

    /** The two ends of a connection. */
    enum Side {
        /** The host that connected. */
        CONNECTING,
        /** The host that accepted the connection. */
        ACCEPTING
    }

    /**
     * The identifiers and nonces that two hosts exchange while a connection opens.
     *
     * @param connecting the host that connected
     * @param connectingNonce its random bytes
     * @param accepting the host that accepted the connection
     * @param acceptingNonce its random bytes
     */
    record Handshake(HostId connecting, byte[] connectingNonce, HostId accepting, byte[] acceptingNonce) {}
}
