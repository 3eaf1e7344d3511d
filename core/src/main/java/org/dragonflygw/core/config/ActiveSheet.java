package org.dragonflygw.core.config;

/**
 * The sheet in force on this daemon, with its version.
 *
 * @param version version of the sheet
 * @param sheet content
 */
public record ActiveSheet(SheetVersion version, Sheet sheet) {
    /** Before the first accepted sheet. */
    public static final ActiveSheet NONE = new ActiveSheet(SheetVersion.NONE, Sheet.EMPTY);
}
