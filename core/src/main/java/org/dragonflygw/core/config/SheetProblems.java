package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the problems of one sheet. Keeps the first {@link #MAX_KEPT} and only counts the others. Not thread-safe.
 */
final class SheetProblems {
    static final int MAX_KEPT = 1000;

    private final List<SheetProblem> problems = new ArrayList<>();
    private int count;

    void add(int row, String column, String message) {
        count++;
        if (problems.size() < MAX_KEPT) {
            problems.add(new SheetProblem(row, column, message));
        }
    }

    void add(int row, SheetColumn column, String message) {
        add(row, column.header(), message);
    }

    /** Adds a problem of the whole file. */
    void add(String message) {
        add(0, "", message);
    }

    /** Number of all problems, including those that were not kept. */
    int count() {
        return count;
    }

    List<SheetProblem> inRowOrder() {
        List<SheetProblem> sorted = new ArrayList<>(problems);
        sorted.sort(Comparator.comparingInt(SheetProblem::row));
        return sorted;
    }
}
