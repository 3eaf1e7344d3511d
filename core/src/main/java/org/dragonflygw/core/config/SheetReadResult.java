package org.dragonflygw.core.config;

import java.util.List;
import java.util.Optional;

/**
 * Result of reading a sheet: the sheet, or its problems.
 *
 * @param sheet the sheet; empty when there are problems
 * @param problems the problems in row order; a sheet with very many lists only the first
 * @param problemCount number of all problems
 */
public record SheetReadResult(Optional<Sheet> sheet, List<SheetProblem> problems, int problemCount) {
    public SheetReadResult {
        problems = List.copyOf(problems);
    }

    /** Whether the sheet can be applied. */
    public boolean isValid() {
        return sheet.isPresent();
    }

    static SheetReadResult valid(Sheet sheet) {
        return new SheetReadResult(Optional.of(sheet), List.of(), 0);
    }

    static SheetReadResult invalid(SheetProblems problems) {
        return new SheetReadResult(Optional.empty(), problems.inRowOrder(), problems.count());
    }
}
