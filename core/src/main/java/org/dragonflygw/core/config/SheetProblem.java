package org.dragonflygw.core.config;

/**
 * One fault of a sheet.
 *
 * @param row row of the fault; the header row is 1; 0 when the fault is of the file as a whole
 * @param column name of the column; empty when the fault is of the whole row or file
 * @param message what is wrong and what would be right
 */
public record SheetProblem(int row, String column, String message) {
    @Override
    public String toString() {
        if (row == 0) {
            return message;
        }
        return column.isEmpty() ? "row " + row + ": " + message : "row " + row + ", column " + column + ": " + message;
    }
}
