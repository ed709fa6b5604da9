package org.acaciafold.settings;

/**
 * A newly created key; its text is shown once and never stored.
 *
 * @param text the whole key, {@code ID.SECRET}
 * @param hash the salted hash that is stored
 */
public record NewKey(String text, KeyHash hash) {
    @Override
    public String toString() {
        return "NewKey[" + hash.id() + "]";
    }
}
