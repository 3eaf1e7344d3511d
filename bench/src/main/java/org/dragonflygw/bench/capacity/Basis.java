package org.dragonflygw.bench.capacity;

/** What a line rests on. */
enum Basis {
    /** Slopes that were measured, and the sizes of the target. */
    MEASURED,
    /** At least one factor was not measured. */
    ASSUMED
}
