package org.dragonflygw.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Order in which the other daemons are exchanged with: each once in a shuffled turn, so that none waits longer than two
 * turns. Not thread-safe.
 */
final class ProbeOrder {
    private final Random random;
    private final List<String> turn = new ArrayList<>();

    ProbeOrder(Random random) {
        this.random = random;
    }

    /** Takes the next id that is wanted; starts a new turn from the given ids when the last one is over. */
    Optional<String> next(List<String> ids, Predicate<String> wanted) {
        Optional<String> next = takeFromTurn(wanted);
        if (next.isPresent()) {
            return next;
        }
        turn.clear();
        turn.addAll(ids);
        Collections.shuffle(turn, random);
        return takeFromTurn(wanted);
    }

    private Optional<String> takeFromTurn(Predicate<String> wanted) {
        while (!turn.isEmpty()) {
            String id = turn.remove(turn.size() - 1);
            if (wanted.test(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }
}
