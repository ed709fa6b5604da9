package org.acaciafold.settings;

/**
 * A key as a caller presents it.
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
