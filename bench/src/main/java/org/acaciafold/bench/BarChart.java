package org.acaciafold.bench;

import java.util.List;
import java.util.Locale;

/** Draws a table as a bar chart in SVG, with one group of bars per column. */
final class BarChart {
    private static final int BAR_WIDTH = 26;
    private static final int GAP = 30;
    private static final int HEIGHT = 220;
    private static final int TOP = 50;
    private static final int LEFT = 20;
    private static final List<String> COLOURS = List.of("#9aa5b1", "#c7a76c", "#7f9f7f", "#2b6cb0", "#805ad5");

    private BarChart() {}

    /** Returns the chart as SVG text. Each column is scaled to its largest value. */
    static String svg(ResultTable table) {
        int group = table.rows().size() * BAR_WIDTH + GAP;
        int width = Math.max(640, 2 * LEFT + group * table.columns().size());
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\">%n",
                width,
                HEIGHT + TOP + 60));
        svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
        text(svg, LEFT, 20, 14, table.title());
        for (int row = 0; row < table.rows().size(); row++) {
            int x = LEFT + row * 150;
            rect(svg, x, 30, 10, 10, row);
            text(svg, x + 14, 39, 11, table.names().get(row));
        }
        for (int column = 0; column < table.columns().size(); column++) {
            group(svg, table, column, LEFT + column * group);
        }
        return svg.append("</svg>\n").toString();
    }

    private static void group(StringBuilder svg, ResultTable table, int column, int x) {
        double largest =
                table.rows().stream().mapToDouble(row -> row[column]).max().orElse(1);
        for (int row = 0; row < table.rows().size(); row++) {
            double value = table.rows().get(row)[column];
            int height = (int) Math.round((HEIGHT - 20) * (largest <= 0 ? 0 : value / largest));
            int left = x + row * BAR_WIDTH;
            rect(svg, left, TOP + HEIGHT - height, BAR_WIDTH - 4, Math.max(1, height), row);
            text(svg, left, TOP + HEIGHT - height - 3, 8, label(value));
        }
        text(svg, x, TOP + HEIGHT + 18, 11, table.columns().get(column));
    }

    private static String label(double value) {
        return String.format(Locale.ROOT, value >= 10 ? "%.0f" : "%.2f", value);
    }

    private static void rect(StringBuilder svg, int x, int y, int width, int height, int row) {
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>%n",
                x,
                y,
                width,
                height,
                COLOURS.get(row % COLOURS.size())));
    }

    private static void text(StringBuilder svg, int x, int y, int size, String value) {
        svg.append(
                String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" font-size=\"%d\">%s</text>%n", x, y, size, value));
    }
}
