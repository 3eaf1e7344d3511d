package org.dragonflygw.core.config;

/**
 * One cell that differs between two sheets.
 *
 * @param column column
 * @param before value in the first sheet
 * @param after value in the second sheet
 */
public record CellChange(SheetColumn column, String before, String after) {}
