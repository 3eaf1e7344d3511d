package org.dragonflygw.bench.capacity;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Renders the tables of {@code docs/CAPACITY.md}; the text around them is written by hand. */
final class CapacityPage {
    /** Line of the page before the tables. */
    static final String BEGIN = "<!-- tables: made by CapacityMain -->";

    /** Line of the page after the tables. */
    static final String END = "<!-- end of tables -->";

    private static final double CORE_PERCENT_LIMIT = 1.7;
    private static final double MEGABYTES_LIMIT = 32;
    private static final double KILOBYTES_LIMIT = 19;

    private CapacityPage() {}

    /** The page with its tables made anew. */
    static String update(String page, CapacityModel model) {
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        int end = page.indexOf(END);
        return page.substring(0, begin) + "\n\n" + tables(model) + page.substring(end);
    }

    private static String tables(CapacityModel model) {
        StringBuilder text = new StringBuilder();
        text.append(
                "### Control budget of one daemon\n\n| | both regions | a zone lost | budget |\n|---|---|---|---|\n");
        budget(text, "sent, KB/s", model::controlKilobytes, KILOBYTES_LIMIT);
        budget(text, "processor, % of a core", model::controlCorePercent, CORE_PERCENT_LIMIT);
        budget(text, "memory, MB", model::controlMegabytes, MEGABYTES_LIMIT);
        text.append('\n');
        model.roles().forEach(role -> role(text, role));
        return text.toString();
    }

    private static void budget(StringBuilder text, String name, ToDoubleFunction<Scenario> value, double limit) {
        text.append(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s |%n",
                name,
                number(value.applyAsDouble(Scenario.WHOLE)),
                number(value.applyAsDouble(Scenario.ZONE_LOST)),
                number(limit)));
    }

    private static void role(StringBuilder text, Role role) {
        text.append("### ").append(role.name()).append("\n\nMechanism: ").append(role.mechanism());
        text.append(".\n\n| | unit | both regions | a zone lost | basis | formula |\n|---|---|---|---|---|---|\n");
        for (CapacityRow line : role.rows()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s |%n",
                    line.quantity(),
                    line.unit(),
                    number(line.value().applyAsDouble(Scenario.WHOLE)),
                    number(line.value().applyAsDouble(Scenario.ZONE_LOST)),
                    line.basis().name().toLowerCase(Locale.ROOT),
                    line.formula()));
        }
        text.append('\n');
    }

    private static String number(double value) {
        String format = value >= 100 ? "%,.0f" : value >= 1 ? "%.1f" : "%.3f";
        return String.format(Locale.ROOT, format, value);
    }
}
