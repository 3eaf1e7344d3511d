package org.dragonflygw.core.routing;

import java.util.ArrayList;
import java.util.List;

/** Decisions made under the lock of a steward, delivered after it is released. */
final class DeferredDecisions {
    private final List<Runnable> answers = new ArrayList<>(1);

    void add(WaitingRequest waiter, SlotDecision decision) {
        answers.add(() -> waiter.listener().accept(decision));
    }

    /** Calls the listeners; no lock may be held. */
    void deliver() {
        answers.forEach(Runnable::run);
    }
}
