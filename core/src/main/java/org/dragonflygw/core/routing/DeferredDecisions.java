package org.dragonflygw.core.routing;

import java.util.ArrayList;
import java.util.List;

/** Collects decisions that are made under the lock of a steward and delivered after the lock is released. */
final class DeferredDecisions {
    private final List<Runnable> deliveries = new ArrayList<>(1);

    void add(WaitingRequest waiter, SlotDecision decision) {
        deliveries.add(() -> waiter.listener().accept(decision));
    }

    /** Calls the listeners. The caller must hold no lock. */
    void deliver() {
        deliveries.forEach(Runnable::run);
    }
}
