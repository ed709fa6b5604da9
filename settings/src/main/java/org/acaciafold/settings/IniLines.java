package org.acaciafold.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stores the line number of each section and name in an INI text and reports syntax errors. */
final class IniLines {
    private final String file;
    private final List<SettingsProblem> problems;
    private final Map<String, Integer> sections = new LinkedHashMap<>();
    private final Map<String, Integer> names = new LinkedHashMap<>();
    private String section = "";

    private IniLines(String file, List<SettingsProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /**
     * Scans an INI text and records its line numbers.
     *
     * @param file the file name to report in errors
     * @param text the text
     * @param problems the list that receives the errors
     * @return the line numbers
     */
    static IniLines scan(String file, String text, List<SettingsProblem> problems) {
        IniLines lines = new IniLines(file, problems);
        int number = 0;
        for (String line : text.split("\\R", -1)) {
            number++;
            lines.scanLine(number, line.trim());
        }
        return lines;
    }

    /** Returns the name in a {@code NAME = VALUE} line, or an empty string for any other line. */
    static String nameOf(String line) {
        String trimmed = line.trim();
        int end = trimmed.indexOf('=');
        return isComment(trimmed) || trimmed.startsWith("[") || end < 0
                ? ""
                : trimmed.substring(0, end).trim();
    }

    /** Returns the name in a {@code [SECTION]} line, or an empty string for any other line. */
    static String sectionOf(String line) {
        String trimmed = line.trim();
        int end = trimmed.indexOf(']');
        return trimmed.startsWith("[") && end > 0 ? trimmed.substring(1, end).trim() : "";
    }

    /** Returns the line number of a value, or 0 if it is unknown. */
    int line(String inSection, String name) {
        return names.getOrDefault(key(inSection, name), 0);
    }

    /** Returns the line number of each section, in the order of the text. */
    Map<String, Integer> sections() {
        return sections;
    }

    private static boolean isComment(String line) {
        return line.startsWith("#") || line.startsWith(";");
    }

    private static String key(String section, String name) {
        return section + '\n' + name;
    }

    private void addName(int number, String line) {
        String name = nameOf(line);
        if (section.isEmpty()) {
            reportProblem(number, "a value before the first [section]");
            return;
        }
        if (name.isEmpty()) {
            reportProblem(number, "not a line of the form NAME = VALUE");
            return;
        }
        Integer first = names.putIfAbsent(key(section, name), number);
        if (first != null) {
            reportProblem(number, name + " stands twice in [" + section + "], first in line " + first);
        }
    }

    private void addSection(int number, String line) {
        section = sectionOf(line);
        if (section.isEmpty()) {
            reportProblem(number, "not a line of the form [SECTION]");
            return;
        }
        Integer first = sections.putIfAbsent(section, number);
        if (first != null) {
            reportProblem(number, "section [" + section + "] stands twice, first in line " + first);
        }
    }

    private void reportProblem(int number, String message) {
        problems.add(new SettingsProblem(file, number, message));
    }

    private void scanLine(int number, String line) {
        if (line.isEmpty() || isComment(line)) {
            return;
        }
        if (line.endsWith("\\")) {
            reportProblem(number, "a value must end on its own line; remove the backslash");
            return;
        }
        if (line.startsWith("[")) {
            addSection(number, line);
        } else {
            addName(number, line);
        }
    }
}
