package org.dragonflygw.bench.policy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Collects rows and writes them as Markdown tables and bar charts. */
final class PolicyReport {
    private static final int CHART_WIDTH = 900;
    private static final int CHART_HEIGHT = 420;

    private final StringBuilder text = new StringBuilder();

    void heading(String title, String explanation) {
        text.append("\n## ").append(title).append("\n\n").append(explanation).append("\n");
    }

    void table(List<String> header, List<List<String>> rows) {
        text.append('\n')
                .append(line(header))
                .append(line(header.stream().map(cell -> "---").toList()));
        rows.forEach(row -> text.append(line(row)));
    }

    static String number(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    /** Writes a bar chart of one figure for several policies. */
    static void chart(Path file, String title, String unit, List<String> names, List<Double> values) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(CHART_WIDTH)
                .height(CHART_HEIGHT)
                .title(title)
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(20);
        chart.addSeries(unit, names, new ArrayList<>(values));
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void write(Path file, String introduction) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Files.writeString(file, introduction + text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String line(List<String> cells) {
        return "| " + String.join(" | ", cells) + " |\n";
    }
}
