package org.dragonflygw.core.inspect;

import java.util.List;

/**
 * Differences from the sheet in force: answer of {@code POST /v1/sheet/diff}.
 *
 * @param number version of the sheet that was compared with; 0 for none
 * @param changes one line for each row that differs
 */
public record SheetDiffView(long number, List<String> changes) {
    public SheetDiffView {
        changes = List.copyOf(changes);
    }
}
