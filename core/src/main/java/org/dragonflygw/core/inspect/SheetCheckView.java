package org.dragonflygw.core.inspect;

import java.util.List;
import org.dragonflygw.core.config.SheetProblem;

/**
 * Result of a check: answer of {@code POST /v1/sheet/check}, and of the other calls when the sheet is invalid.
 *
 * @param valid whether the sheet can be applied
 * @param problemCount total number of problems
 * @param problems the first problems, in row order
 */
public record SheetCheckView(boolean valid, int problemCount, List<SheetProblem> problems) {
    public SheetCheckView {
        problems = List.copyOf(problems);
    }
}
