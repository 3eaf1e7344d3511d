package org.dragonflygw.core.config;

import java.util.List;
import java.util.Optional;

/**
 * Result of reading a sheet: the parsed sheet, or its problems.
 *
 * @param sheet parsed sheet; empty if there are problems
 * @param problems problems in row order, up to {@link SheetProblems#MAX_KEPT}
 * @param problemCount number of all problems, including those not listed
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
