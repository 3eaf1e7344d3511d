package org.dragonflygw.core.inspect;

import java.util.List;

/**
 * Result of an apply: answer of {@code POST /v1/sheet/apply}.
 *
 * @param accepted whether the sheet was accepted; false if another sheet was accepted first
 * @param number version of the sheet that is accepted now
 * @param digest digest of the sheet that is accepted now
 * @param operator operator who applied that sheet
 * @param changes when not accepted: how the sheet differs from the accepted one, one line for each row
 */
public record SheetApplyView(boolean accepted, long number, String digest, String operator, List<String> changes) {
    public SheetApplyView {
        changes = List.copyOf(changes);
    }
}
