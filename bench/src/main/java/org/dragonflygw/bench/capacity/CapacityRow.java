package org.dragonflygw.bench.capacity;

import java.util.function.ToDoubleFunction;

/**
 * One line of the page.
 *
 * @param quantity what is counted, for one daemon if nothing else is said
 * @param unit unit of the value
 * @param basis measured or assumed
 * @param formula how the value comes from slopes and sizes, for the reader
 * @param value the value in a scenario
 */
record CapacityRow(String quantity, String unit, Basis basis, String formula, ToDoubleFunction<Scenario> value) {}
