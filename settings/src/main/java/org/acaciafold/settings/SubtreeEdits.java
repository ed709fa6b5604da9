package org.acaciafold.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Changes single values in the text of a subtree and leaves the rest, including comments, unchanged.
 *
 * <p>Example: {@code SubtreeEdits.addKey(text, key.hash())}.
 */
public final class SubtreeEdits {
    private static final String KEYS = "keys";
    private static final String DOMAIN = "domain";
    private static final String TAKEN_OUT = "taken-out";

    private SubtreeEdits() {}

    /**
     * Adds a key to a workspace.
     *
     * @param text the text of the workspace's subtree
     * @param key the key
     * @return the changed text
     */
    public static String addKey(String text, KeyHash key) {
        return set(text, KEYS, key.id(), key.salt() + ":" + key.hash());
    }

    /**
     * Takes a failure domain out of service or returns it to service.
     *
     * @param text the text of the domain's subtree, empty for a new domain
     * @param takenOut true to take it out of service, false to return it
     * @return the changed text
     */
    public static String takeOut(String text, boolean takenOut) {
        return set(text, DOMAIN, TAKEN_OUT, String.valueOf(takenOut));
    }

    /**
     * Withdraws a key of a workspace.
     *
     * @param text the text of the workspace's subtree
     * @param id the identifier of the key
     * @return the changed text, or empty if the key does not exist
     */
    public static Optional<String> withdrawKey(String text, String id) {
        List<String> lines = lines(text);
        int at = find(lines, KEYS, id);
        if (at < 0) {
            return Optional.empty();
        }
        lines.remove(at);
        return Optional.of(join(lines));
    }

    private static int find(List<String> lines, String section, String name) {
        String current = "";
        for (int i = 0; i < lines.size(); i++) {
            String opened = IniLines.sectionOf(lines.get(i));
            current = opened.isEmpty() ? current : opened;
            if (opened.isEmpty()
                    && current.equals(section)
                    && IniLines.nameOf(lines.get(i)).equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static int findSection(List<String> lines, String section) {
        for (int i = 0; i < lines.size(); i++) {
            if (IniLines.sectionOf(lines.get(i)).equals(section)) {
                return i;
            }
        }
        return -1;
    }

    private static String join(List<String> lines) {
        return String.join("\n", lines) + "\n";
    }

    private static List<String> lines(String text) {
        List<String> lines = new ArrayList<>(text.lines().toList());
        while (!lines.isEmpty() && lines.getLast().isBlank()) {
            lines.removeLast();
        }
        return lines;
    }

    private static String set(String text, String section, String name, String value) {
        List<String> lines = lines(text);
        String line = name + " = " + value;
        int at = find(lines, section, name);
        if (at >= 0) {
            lines.set(at, line);
            return join(lines);
        }
        int opened = findSection(lines, section);
        if (opened < 0) {
            lines.add("[" + section + "]");
            opened = lines.size() - 1;
        }
        lines.add(opened + 1, line);
        return join(lines);
    }
}
