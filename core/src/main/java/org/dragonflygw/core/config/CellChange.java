package org.dragonflygw.core.config;

/**
 * Change of one cell between two sheets.
 *
 * @param column column of the cell
 * @param before value in the first sheet
 * @param after value in the second sheet
 */
public record CellChange(SheetColumn column, String before, String after) {}
