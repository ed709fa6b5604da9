package org.acaciafold.settings;

/**
 * One error in a settings text.
 *
 * @param file the file or subtree
 * @param line the line, from 1; 0 when the error concerns the whole text
 * @param message what is wrong and what would be right
 */
public record SettingsProblem(String file, int line, String message) {
    @Override
    public String toString() {
        return line > 0 ? file + ":" + line + ": " + message : file + ": " + message;
    }
}
