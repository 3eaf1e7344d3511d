package org.dragonflygw.core.config;

/**
 * A parsed row of a sheet with its position in the file.
 *
 * @param row number of the row; the header row is 1
 * @param value parsed content of the row
 */
record NumberedRow<T>(int row, T value) {}
