package org.acaciafold.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * A parsed INI text with the line number of each value.
 *
 * <p>Sections are read through {@link #section}; {@link #finish} then reports as unknown those never read.
 */
final class IniText {
    private final String file;
    private final IniLines lines;
    private final Map<String, Map<String, IniValue>> sections;
    private final List<SettingsProblem> problems;
    private final TreeSet<String> knownSections = new TreeSet<>();
    private final List<SectionReader> readers = new ArrayList<>();

    private IniText(
            String file, IniLines lines, Map<String, Map<String, IniValue>> sections, List<SettingsProblem> problems) {
        this.file = file;
        this.lines = lines;
        this.sections = sections;
        this.problems = problems;
    }

    /**
     * Parses an INI text.
     *
     * @param file the file name to report in errors
     * @param text the text
     * @param problems the list that receives the errors
     * @return the sections; if there are errors, the parts that could be parsed
     */
    static IniText parse(String file, String text, List<SettingsProblem> problems) {
        IniLines lines = IniLines.scan(file, text, problems);
        Map<String, Map<String, IniValue>> sections = new LinkedHashMap<>();
        lines.sections().keySet().forEach(name -> sections.put(name, new LinkedHashMap<>()));
        try {
            collect(load(text), lines, sections);
        } catch (IOException | ConfigurationException | IllegalArgumentException e) {
            problems.add(new SettingsProblem(file, 0, "not valid INI: " + e.getMessage()));
        }
        return new IniText(file, lines, sections, problems);
    }

    /** Reports unknown sections and names. */
    void finish() {
        readers.forEach(SectionReader::finish);
        for (Map.Entry<String, Integer> section : lines.sections().entrySet()) {
            if (!knownSections.contains(section.getKey())) {
                String hint = ClosestName.hint(section.getKey(), knownSections);
                String message = "unknown section [" + section.getKey() + "]; " + hint;
                problems.add(new SettingsProblem(file, section.getValue(), message));
            }
        }
    }

    /**
     * Returns a reader for a section; an absent section has no values.
     *
     * @param name the name of the section
     * @return a reader
     */
    SectionReader section(String name) {
        knownSections.add(name);
        int line = lines.sections().getOrDefault(name, 0);
        Map<String, IniValue> values = sections.getOrDefault(name, Map.of());
        SectionReader reader = SectionReader.of(file, name, line, values, problems);
        readers.add(reader);
        return reader;
    }

    private static void collect(INIConfiguration parsed, IniLines lines, Map<String, Map<String, IniValue>> sections) {
        ImmutableNode root = parsed.getNodeModel().getInMemoryRepresentation();
        for (ImmutableNode section : root.getChildren()) {
            Map<String, IniValue> values = sections.get(section.getNodeName());
            if (values == null) {
                continue;
            }
            for (ImmutableNode entry : section.getChildren()) {
                int line = lines.line(section.getNodeName(), entry.getNodeName());
                String value = String.valueOf(entry.getValue()).trim();
                values.putIfAbsent(entry.getNodeName(), new IniValue(value, line));
            }
        }
    }

    private static INIConfiguration load(String text) throws IOException, ConfigurationException {
        INIConfiguration parsed = new INIConfiguration();
        parsed.setSeparatorUsedInInput("=");
        parsed.read(new StringReader(text));
        return parsed;
    }
}
