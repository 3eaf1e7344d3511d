package org.dragonflygw.bench.capacity;

/**
 * One measured cost per unit of load: a row of {@code slopes.csv}.
 *
 * @param name unique name
 * @param value measured value
 * @param unit unit of the value
 * @param command command that reproduces the measurement
 */
record Slope(String name, double value, String unit, String command) {}
