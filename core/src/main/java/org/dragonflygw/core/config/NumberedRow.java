package org.dragonflygw.core.config;

/**
 * A typed row with its place in the file.
 *
 * @param row number of the row; the header row is 1
 * @param value the row
 */
record NumberedRow<T>(int row, T value) {}
