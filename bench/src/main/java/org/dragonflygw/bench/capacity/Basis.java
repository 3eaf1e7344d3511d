package org.dragonflygw.bench.capacity;

/** Whether the value of a row is derived from measurements only. */
enum Basis {
    /** Derived only from measured slopes and the sizes of the scenario. */
    MEASURED,
    /** At least one factor was not measured. */
    ASSUMED
}
