package org.dragonflygw.core.config;

/**
 * Identifies one accepted sheet.
 *
 * @param number increases by one with each accepted sheet; 0 before the first
 * @param digest SHA-256 of the sheet's bytes, in hexadecimal; empty before the first
 */
public record SheetVersion(long number, String digest) {
    /** Stands for the time before the first accepted sheet. */
    public static final SheetVersion NONE = new SheetVersion(0, "");
}
