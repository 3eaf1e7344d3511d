package org.dragonflygw.bench.capacity;

/**
 * One measured slope.
 *
 * @param name unique name
 * @param value value
 * @param unit unit of the value
 * @param command command that measures it
 */
record Slope(String name, double value, String unit, String command) {}
