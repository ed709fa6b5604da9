package org.acaciafold.settings;

/**
 * A key that a caller presents for authentication.
 *
 * @param id the public part, before the dot
 * @param secret the secret part
 */
public record PresentedKey(String id, String secret) {
    @Override
    public String toString() {
        return "PresentedKey[" + id + "]";
    }
}
