package org.dragonflygw.core.config;

import java.util.regex.Pattern;

/** The cells of one row, read as typed values; each fault is added to the problems and replaced by a valid value. */
final class RowFields {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private final int row;
    private final RowKind kind;
    private final SheetHeader header;
    private final String[] cells;
    private final SheetProblems problems;

    RowFields(int row, RowKind kind, SheetHeader header, String[] cells, SheetProblems problems) {
        this.row = row;
        this.kind = kind;
        this.header = header;
        this.cells = cells;
        this.problems = problems;
    }

    /** Reports values in columns that rows of this kind do not use. */
    void checkUnusedColumns() {
        for (SheetColumn column : SheetColumn.values()) {
            if (!column.appliesTo(kind) && !text(column).isEmpty()) {
                problems.add(row, column, "must be empty in a " + kind.columnValue() + " row");
            }
        }
        for (int i = header.size(); i < cells.length; i++) {
            if (!cells[i].isBlank()) {
                problems.add(row, "", "has more cells than the header row");
                return;
            }
        }
    }

    String text(SheetColumn column) {
        return header.cell(cells, column);
    }

    String name(SheetColumn column) {
        String value = text(column);
        if (value.isEmpty()) {
            problems.add(row, column, "must not be empty");
        } else if (!NAME.matcher(value).matches()) {
            problems.add(row, column, quoted(value) + " is not a name: up to 100 letters, digits and . _ : -");
        }
        return value;
    }

    String optionalName(SheetColumn column) {
        return text(column).isEmpty() ? "" : name(column);
    }

    String teamOrAny(SheetColumn column) {
        return text(column).equals(RoutingRule.ANY_TEAM) ? RoutingRule.ANY_TEAM : name(column);
    }

    String sha256(SheetColumn column) {
        String value = text(column);
        if (!SHA256.matcher(value).matches()) {
            problems.add(row, column, "must be a SHA-256 digest: 64 hexadecimal digits in lower case");
        }
        return value;
    }

    int integer(SheetColumn column, int min, int max) {
        String value = text(column);
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below with the bounds, like a number out of bounds.
        }
        problems.add(row, column, quoted(value) + " is not a whole number from " + min + " to " + max);
        return min;
    }

    int integerOr(SheetColumn column, int min, int max, int absent) {
        return text(column).isEmpty() ? absent : integer(column, min, max);
    }

    double decimal(SheetColumn column, double min, double max) {
        String value = text(column);
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below with the bounds, like a number out of bounds.
        }
        problems.add(row, column, quoted(value) + " is not a number from " + min + " to " + max);
        return min;
    }

    boolean bool(SheetColumn column) {
        String value = text(column);
        if (value.equals("true")) {
            return true;
        }
        if (!value.equals("false")) {
            problems.add(row, column, quoted(value) + " is not true or false");
        }
        return false;
    }

    ServiceKind serviceKind() {
        String value = text(SheetColumn.SERVICE_KIND);
        if (value.equals("plain")) {
            return ServiceKind.PLAIN;
        }
        if (!value.equals("model")) {
            problems.add(row, SheetColumn.SERVICE_KIND, quoted(value) + " is not model or plain");
        }
        return ServiceKind.MODEL;
    }

    void addProblem(SheetColumn column, String message) {
        problems.add(row, column, message);
    }

    private static String quoted(String value) {
        return value.length() > 60 ? "\"" + value.substring(0, 60) + "...\"" : "\"" + value + "\"";
    }
}
