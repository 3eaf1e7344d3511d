package org.dragonflygw.core.config;

/**
 * A problem that makes a sheet invalid.
 *
 * @param row number of the row; the header row is 1; 0 if the problem concerns the whole file
 * @param column name of the column; empty if the problem concerns the whole row or file
 * @param message what is wrong and what is expected
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
