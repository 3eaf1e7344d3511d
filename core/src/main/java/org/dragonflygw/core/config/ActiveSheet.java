package org.dragonflygw.core.config;

/**
 * The sheet in force on this daemon: the newest valid sheet that this daemon received, with its version.
 *
 * @param version version of the sheet
 * @param sheet parsed content
 */
public record ActiveSheet(SheetVersion version, Sheet sheet) {
    /** Stands for the time before the first accepted sheet. */
    public static final ActiveSheet NONE = new ActiveSheet(SheetVersion.NONE, Sheet.EMPTY);
}
