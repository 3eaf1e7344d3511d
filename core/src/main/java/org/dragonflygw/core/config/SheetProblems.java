package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one sheet; keeps the first {@link #MAX_KEPT} and counts the others. Not thread-safe. */
final class SheetProblems {
    static final int MAX_KEPT = 1000;

    private final List<SheetProblem> kept = new ArrayList<>();
    private int count;

    void add(int row, String column, String message) {
        count++;
        if (kept.size() < MAX_KEPT) {
            kept.add(new SheetProblem(row, column, message));
        }
    }

    void add(int row, SheetColumn column, String message) {
        add(row, column.header(), message);
    }

    void add(String message) {
        add(0, "", message);
    }

    int count() {
        return count;
    }

    List<SheetProblem> inRowOrder() {
        List<SheetProblem> sorted = new ArrayList<>(kept);
        sorted.sort(Comparator.comparingInt(SheetProblem::row));
        return sorted;
    }
}
