package org.dragonflygw.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Order in which the other daemons are contacted: each once per cycle, in random order, so that no daemon waits longer
 * than two cycles. Not thread-safe.
 */
final class ProbeOrder {
    private final Random random;
    private final List<String> cycle = new ArrayList<>();

    ProbeOrder(Random random) {
        this.random = random;
    }

    /** Returns the next id that matches; starts a new cycle from the given ids when the current one is finished. */
    Optional<String> next(List<String> ids, Predicate<String> filter) {
        Optional<String> next = nextInCycle(filter);
        if (next.isPresent()) {
            return next;
        }
        cycle.clear();
        cycle.addAll(ids);
        Collections.shuffle(cycle, random);
        return nextInCycle(filter);
    }

    private Optional<String> nextInCycle(Predicate<String> filter) {
        while (!cycle.isEmpty()) {
            String id = cycle.remove(cycle.size() - 1);
            if (filter.test(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }
}
