package org.acaciafold.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A table of numbers with one row per policy or size. Its last line compares the last row with the best other row. */
public final class ResultTable {
    /** Whether lower or higher values are better. */
    public enum Better {
        /** Lower values are better. */
        LOWER,
        /** Higher values are better. */
        HIGHER,
        /** Neither is better; rows are not compared. */
        NEITHER
    }

    private final String title;
    private final List<String> columns;
    private final Better better;
    private final List<String> names = new ArrayList<>();
    private final List<double[]> rows = new ArrayList<>();

    /**
     * Creates a table without rows.
     *
     * @param title the measured quantity
     * @param columns the titles of the columns
     * @param better whether lower or higher values are better, for the last line
     */
    public ResultTable(String title, List<String> columns, Better better) {
        this.title = title;
        this.columns = List.copyOf(columns);
        this.better = better;
    }

    /**
     * Adds a row.
     *
     * @param name the title of the row
     * @param values one value per column
     */
    public void add(String name, double... values) {
        names.add(name);
        rows.add(values);
    }

    List<String> columns() {
        return columns;
    }

    List<String> names() {
        return names;
    }

    List<double[]> rows() {
        return rows;
    }

    String title() {
        return title;
    }

    /** Returns the table as Markdown, which is also readable as plain text. */
    String text() {
        StringBuilder text = new StringBuilder("### " + title + "\n\n");
        text.append(line("", columns));
        text.append("| --- |").append(" ---: |".repeat(columns.size())).append('\n');
        for (int i = 0; i < rows.size(); i++) {
            text.append(line(names.get(i), formatted(rows.get(i))));
        }
        if (better != Better.NEITHER) {
            text.append(line("**ours against the best baseline**", comparison()));
        }
        return text.append('\n').toString();
    }

    private List<String> comparison() {
        List<String> cells = new ArrayList<>();
        double[] ours = rows.getLast();
        for (int column = 0; column < columns.size(); column++) {
            double best = best(column);
            String ratio = best == 0 ? "-" : String.format(Locale.ROOT, "%.2f x", ours[column] / best);
            cells.add(format(ours[column]) + " / " + format(best) + " = " + ratio);
        }
        return cells;
    }

    private double best(int column) {
        double best = rows.getFirst()[column];
        for (double[] row : rows.subList(0, rows.size() - 1)) {
            best = better == Better.LOWER ? Math.min(best, row[column]) : Math.max(best, row[column]);
        }
        return best;
    }

    private static List<String> formatted(double[] values) {
        List<String> cells = new ArrayList<>();
        for (double value : values) {
            cells.add(format(value));
        }
        return cells;
    }

    private static String format(double value) {
        double magnitude = Math.abs(value);
        String pattern = magnitude >= 100
                ? "%,.0f"
                : magnitude >= 10 ? "%.1f" : magnitude >= 0.1 || magnitude == 0 ? "%.2f" : "%.4f";
        return String.format(Locale.ROOT, pattern, value);
    }

    private static String line(String name, List<String> cells) {
        return String.format(Locale.ROOT, "| %-34s | %s |%n", name, String.join(" | ", cells));
    }
}
