package org.acaciafold.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads typed values from one section and collects the errors.
 *
 * <p>Each method returns the value; if the value is invalid, it reports an error and returns a harmless placeholder.
 * Every name that is read counts as known; {@link #finish} reports the others as unknown.
 */
final class SectionReader {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_RULE = "up to 63 letters, digits, dots, hyphens and underscores";

    private final String file;
    private final String section;
    private final int line;
    private final Map<String, IniValue> values;
    private final List<SettingsProblem> problems;
    private final TreeSet<String> knownNames = new TreeSet<>();

    private SectionReader(
            String file, String section, int line, Map<String, IniValue> values, List<SettingsProblem> problems) {
        this.file = file;
        this.section = section;
        this.line = line;
        this.values = values;
        this.problems = problems;
    }

    static SectionReader of(
            String file, String section, int line, Map<String, IniValue> values, List<SettingsProblem> problems) {
        return new SectionReader(file, section, line, values, problems);
    }

    /** Returns whether a text is a valid name for a host, failure domain, workspace or service. */
    static boolean validName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Reads an address that consists of an IP number and a port. */
    String address(String name) {
        String text = text(name);
        if (!text.isEmpty() && Addresses.parse(text).isEmpty()) {
            reportProblem(name, text + " is not an IP number and a port, such as 10.0.0.1:8080 or [fd00::1]:8080");
        }
        return text;
    }

    /** Reads a value that must be one of several words. */
    <T> T choice(String name, Map<String, T> choices, String fallback) {
        String text = text(name, fallback);
        if (!choices.containsKey(text)) {
            reportProblem(name, text + " is not one of " + String.join(", ", new TreeSet<>(choices.keySet())));
            return choices.get(fallback);
        }
        return choices.get(text);
    }

    /** Reports as unknown every name in the section that was never read. */
    void finish() {
        values.forEach((name, value) -> {
            if (!knownNames.contains(name)) {
                String message =
                        "unknown name " + name + " in [" + section + "]; " + ClosestName.hint(name, knownNames);
                problems.add(new SettingsProblem(file, value.line(), message));
            }
        });
    }

    /** Returns all values of a section that accepts any name. */
    Map<String, IniValue> allValues() {
        knownNames.addAll(values.keySet());
        return values;
    }

    /** Reads the name of a host, failure domain or workspace. */
    String name(String name) {
        String text = text(name);
        if (!text.isEmpty() && !validName(text)) {
            reportProblem(name, text + " is not a name: " + NAME_RULE);
        }
        return text;
    }

    /** Reads a decimal number above an exclusive lower bound and up to an inclusive upper bound. */
    double number(String name, double exclusiveMin, double max, String fallback) {
        String text = text(name, fallback);
        Optional<Double> number = parseNumber(text);
        if (number.isEmpty() || !(number.get() > exclusiveMin && number.get() <= max)) {
            reportProblem(name, text + " is not a number above " + exclusiveMin + " and at most " + max);
            return Double.parseDouble(fallback);
        }
        return number.get();
    }

    /** Reads a share of a whole, from 0 to 1; 0 when it is missing. */
    double share(String name) {
        String text = text(name, "0");
        Optional<Double> number = parseNumber(text);
        if (number.isEmpty() || !(number.get() >= 0 && number.get() <= 1)) {
            reportProblem(name, text + " is not a number from 0 to 1");
            return 0;
        }
        return number.get();
    }

    /** Reads a value with a custom parser, which returns empty for an invalid value. */
    <T> T parsed(String name, Function<String, Optional<T>> parser, String forms, String fallback) {
        String text = text(name, fallback);
        return parser.apply(text).orElseGet(() -> {
            reportProblem(name, text + " is not one of " + forms);
            return parser.apply(fallback).orElseThrow();
        });
    }

    /** Reports an error in a value, at its line, or at the line of the section if the value is missing. */
    void reportProblem(String name, String message) {
        IniValue value = values.get(name);
        int problemLine = value == null ? line : value.line();
        problems.add(new SettingsProblem(file, problemLine, name + ": " + message));
    }

    /** Reads a required quantity. */
    long quantity(String name, Quantity quantity, long min, long max) {
        String text = text(name);
        return text.isEmpty() ? min : inRange(name, text, quantity, min, max);
    }

    /** Reads an optional quantity. */
    long quantity(String name, Quantity quantity, long min, long max, String fallback) {
        return inRange(name, text(name, fallback), quantity, min, max);
    }

    /** Reads a required text; returns an empty string if it is missing. */
    String text(String name) {
        knownNames.add(name);
        IniValue value = values.get(name);
        if (value == null || value.value().isEmpty()) {
            reportProblem(name, "missing in [" + section + "]");
            return "";
        }
        return value.value();
    }

    /** Reads an optional text. */
    String text(String name, String fallback) {
        knownNames.add(name);
        IniValue value = values.get(name);
        return value == null ? fallback : value.value();
    }

    private static Optional<Double> parseNumber(String text) {
        try {
            return Optional.of(Double.valueOf(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private long inRange(String name, String text, Quantity quantity, long min, long max) {
        if (quantity.parse(text).isEmpty()) {
            reportProblem(name, text + " is not a quantity with its unit; write it like " + quantity.examples());
            return min;
        }
        long amount = quantity.parse(text).getAsLong();
        if (amount < min || amount > max) {
            reportProblem(
                    name, text + " is out of range; right is " + quantity.format(min) + " to " + quantity.format(max));
            return min;
        }
        return amount;
    }
}
