package org.acaciafold.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Creates and verifies keys.
 *
 * <p>A secret has 256 random bits, so one round of a salted hash is enough to prevent guessing it.
 *
 * <p>Example: {@code Keys.parse(text).filter(key -> Keys.verify(hash, key.secret()))}.
 */
public final class Keys {
    private static final int ID_BYTES = 6;
    private static final int SALT_BYTES = 16;
    private static final int SECRET_BYTES = 32;
    private static final HexFormat HEX = HexFormat.of();
    private static final Pattern KEY = Pattern.compile("([A-Za-z0-9_-]{1,63})\\.([A-Za-z0-9_-]{1,128})");
    private static final Pattern HASH = Pattern.compile("([A-Za-z0-9_-]{1,63}):([0-9a-f]{8,64}):([0-9a-f]{64})");

    private Keys() {}

    /**
     * Creates a key with a random identifier.
     *
     * @param random the source of randomness
     * @return the key and its hash
     */
    public static NewKey create(SecureRandom random) {
        String id = "k" + HEX.formatHex(bytes(random, ID_BYTES));
        String secret = HEX.formatHex(bytes(random, SECRET_BYTES));
        String salt = HEX.formatHex(bytes(random, SALT_BYTES));
        return new NewKey(id + "." + secret, new KeyHash(id, salt, digest(salt, secret)));
    }

    /**
     * Formats a hash as text.
     *
     * @param hash the hash
     * @return {@code ID:SALT:HASH}
     */
    public static String formatHash(KeyHash hash) {
        return hash.id() + ":" + hash.salt() + ":" + hash.hash();
    }

    /**
     * Parses the key that a caller presents.
     *
     * @param text {@code ID.SECRET}
     * @return the key, or empty if the text does not have this form
     */
    public static Optional<PresentedKey> parse(String text) {
        Matcher matcher = KEY.matcher(text);
        return matcher.matches() ? Optional.of(new PresentedKey(matcher.group(1), matcher.group(2))) : Optional.empty();
    }

    /**
     * Parses a hash.
     *
     * @param text {@code ID:SALT:HASH}
     * @return the hash, or empty if the text does not have this form
     */
    public static Optional<KeyHash> parseHash(String text) {
        Matcher matcher = HASH.matcher(text);
        return matcher.matches()
                ? Optional.of(new KeyHash(matcher.group(1), matcher.group(2), matcher.group(3)))
                : Optional.empty();
    }

    /**
     * Verifies a secret in constant time, so that the duration does not reveal how much of it is correct.
     *
     * @param hash the stored hash of the key
     * @param secret the secret part that was presented
     * @return true if the secret is correct
     */
    public static boolean verify(KeyHash hash, String secret) {
        byte[] actual = digest(hash.salt(), secret).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(actual, hash.hash().getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] bytes(SecureRandom random, int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    private static String digest(String salt, String secret) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(salt.getBytes(StandardCharsets.US_ASCII));
            sha256.update((byte) ':');
            return HEX.formatHex(sha256.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
