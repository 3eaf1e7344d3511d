package org.dragonflygw.bench.capacity;

import java.util.function.ToDoubleFunction;

/**
 * One table row of the capacity page: a cost of a role.
 *
 * @param quantity what is counted; for one daemon unless the text says otherwise
 * @param unit unit of the value
 * @param basis measured or assumed
 * @param formula formula shown on the page: how the value follows from slopes and sizes
 * @param value computes the value for a scenario
 */
record CapacityRow(String quantity, String unit, Basis basis, String formula, ToDoubleFunction<Scenario> value) {}
