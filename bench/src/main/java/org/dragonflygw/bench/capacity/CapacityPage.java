package org.dragonflygw.bench.capacity;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Renders the tables of {@code docs/CAPACITY.md}; the text around them is edited by hand. */
final class CapacityPage {
    /** Marker line before the tables. */
    static final String BEGIN = "<!-- tables: made by CapacityMain -->";

    /** Marker line after the tables. */
    static final String END = "<!-- end of tables -->";

    private static final double CORE_PERCENT_BUDGET = 1.7;
    private static final double MEGABYTES_BUDGET = 32;
    private static final double KILOBYTES_PER_SECOND_BUDGET = 19;

    private CapacityPage() {}

    /** Returns the page with its tables replaced by those of the model. */
    static String update(String page, CapacityModel model) {
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        int end = page.indexOf(END);
        return page.substring(0, begin) + "\n\n" + tables(model) + page.substring(end);
    }

    private static String tables(CapacityModel model) {
        StringBuilder text = new StringBuilder();
        text.append(
                "### Control budget of one daemon\n\n| | both regions | a zone lost | budget |\n|---|---|---|---|\n");
        appendBudgetRow(text, "sent, KB/s", model::controlKilobytes, KILOBYTES_PER_SECOND_BUDGET);
        appendBudgetRow(text, "processor, % of a core", model::controlCorePercent, CORE_PERCENT_BUDGET);
        appendBudgetRow(text, "memory, MB", model::controlMegabytes, MEGABYTES_BUDGET);
        text.append('\n');
        model.roles().forEach(role -> appendRole(text, role));
        return text.toString();
    }

    private static void appendBudgetRow(
            StringBuilder text, String name, ToDoubleFunction<Scenario> value, double limit) {
        text.append(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s |%n",
                name,
                format(value.applyAsDouble(Scenario.WHOLE)),
                format(value.applyAsDouble(Scenario.ZONE_LOST)),
                format(limit)));
    }

    private static void appendRole(StringBuilder text, Role role) {
        text.append("### ").append(role.name()).append("\n\nMechanism: ").append(role.mechanism());
        text.append(".\n\n| | unit | both regions | a zone lost | basis | formula |\n|---|---|---|---|---|---|\n");
        for (CapacityRow row : role.rows()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s |%n",
                    row.quantity(),
                    row.unit(),
                    format(row.value().applyAsDouble(Scenario.WHOLE)),
                    format(row.value().applyAsDouble(Scenario.ZONE_LOST)),
                    row.basis().name().toLowerCase(Locale.ROOT),
                    row.formula()));
        }
        text.append('\n');
    }

    private static String format(double value) {
        String pattern = value >= 100 ? "%,.0f" : value >= 1 ? "%.1f" : "%.3f";
        return String.format(Locale.ROOT, pattern, value);
    }
}
