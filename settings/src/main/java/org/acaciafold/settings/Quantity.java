package org.acaciafold.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A kind of whole number with a unit; amounts are stored in the smallest unit. */
enum Quantity {
    /** A duration in milliseconds. */
    DURATION(
            "500ms, 3s, 10min or 2h",
            Map.entry("h", 3_600_000L),
            Map.entry("min", 60_000L),
            Map.entry("s", 1_000L),
            Map.entry("ms", 1L)),
    /** Processors in thousandths of a core. */
    PROCESSORS("4cores or 500m", Map.entry("cores", 1_000L), Map.entry("core", 1_000L), Map.entry("m", 1L)),
    /** Memory in MiB. */
    MEMORY("512MiB, 8GiB or 2TiB", Map.entry("TiB", 1_048_576L), Map.entry("GiB", 1_024L), Map.entry("MiB", 1L)),
    /** A size in bytes. */
    SIZE("64KiB or 8MiB", Map.entry("MiB", 1_048_576L), Map.entry("KiB", 1_024L), Map.entry("B", 1L)),
    /** A plain number. */
    COUNT("4, without a unit", Map.entry("", 1L));

    private static final Pattern FORM = Pattern.compile("([0-9]{1,18})\\s?([A-Za-z]*)");

    private final String examples;
    private final Map<String, Long> units = new LinkedHashMap<>();

    @SafeVarargs
    Quantity(String examples, Map.Entry<String, Long>... units) {
        this.examples = examples;
        for (Map.Entry<String, Long> unit : units) {
            this.units.put(unit.getKey(), unit.getValue());
        }
    }

    /** Returns examples of the accepted form. */
    String examples() {
        return examples;
    }

    /** Formats an amount in the largest unit that divides it. */
    String format(long amount) {
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (amount != 0 && amount % unit.getValue() == 0) {
                return amount / unit.getValue() + unit.getKey();
            }
        }
        return amount + smallestUnit();
    }

    /** Parses an amount; returns empty if the unit is missing or unknown or the amount exceeds the range of a long. */
    OptionalLong parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return OptionalLong.empty();
        }
        long number = Long.parseLong(matcher.group(1));
        long factor = units.get(matcher.group(2));
        return number > Long.MAX_VALUE / factor ? OptionalLong.empty() : OptionalLong.of(number * factor);
    }

    private String smallestUnit() {
        String last = "";
        for (String unit : units.keySet()) {
            last = unit;
        }
        return last;
    }
}
