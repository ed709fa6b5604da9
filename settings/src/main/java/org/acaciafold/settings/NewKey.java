package org.acaciafold.settings;

/**
 * A key that was just created; the text is shown once and kept nowhere.
 *
 * @param text the whole key, {@code ID.SECRET}
 * @param hash what is kept of it
 */
public record NewKey(String text, KeyHash hash) {
    @Override
    public String toString() {
        return "NewKey[" + hash.id() + "]";
    }
}
