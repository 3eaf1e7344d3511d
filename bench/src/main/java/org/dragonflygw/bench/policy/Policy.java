package org.dragonflygw.bench.policy;

import org.dragonflygw.core.routing.AttemptOutcome;

/** Decides which engine takes a request. */
interface Policy {
    /** Name in the tables. */
    String name();

    /** Places a request now or later, or refuses it, by a call to the loop. */
    void submit(Attempt attempt);

    /** Notes that a placed request is over. */
    void onEnd(Attempt attempt, FakeEngine engine, AttemptOutcome outcome);

    /** Runs background work; called each {@link PolicyLoop#TICK_MILLIS}. */
    default void tick(long now) {}

    /** Notes that engines joined, left or crashed. */
    default void onEnginesChanged() {}

    /** Whether an attempt may be followed by another. */
    boolean mayRetry(Attempt attempt, AttemptOutcome outcome);
}
