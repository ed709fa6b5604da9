package org.acaciafold.settings;

/**
 * One error in a settings text.
 *
 * @param file the file or subtree
 * @param line the line number, starting at 1; 0 if the error concerns the whole text
 * @param message the error and the accepted form
 */
public record SettingsProblem(String file, int line, String message) {
    @Override
    public String toString() {
        return line > 0 ? file + ":" + line + ": " + message : file + ": " + message;
    }
}
