package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which parts of prompts are blamed for the ends of endpoints. The part with the most ends is blamed first; an end that it
 * explains is not held against other parts. Parts with just the same ends cannot be told apart: prompts that hold all of
 * them are blocked, until one of them is cleared or another end tells them apart. Immutable.
 */
final class PartBlame {
    /** No part is blamed. */
    static final PartBlame NONE = new PartBlame(Map.of());

    /**
     * Number of different lost endpoints from which a part is blamed, if hardly another endpoint ended meanwhile. The more
     * end without the part, the likelier a sound part is hit by chance, and the more losses it takes.
     */
    static final int MIN_ENDPOINTS = 3;

    /** Least time before the last loss in which other ends are counted, in nanoseconds. */
    private static final long OTHER_ENDS_NANOS = 10_000_000_000L;

    /** Number of other ended endpoints that are borne without more losses. */
    private static final int FEW_OTHER_ENDS = 1;

    /** The parts that have the same ends as a blamed part, itself included. */
    private final Map<Long, Set<Long>> alike;

    private PartBlame(Map<Long, Set<Long>> alike) {
        this.alike = Map.copyOf(alike);
    }

    /**
     * Decides which parts are blamed.
     *
     * @param suspects losses of the parts with {@link #MIN_ENDPOINTS} lost endpoints or more
     * @param endedNanos when endpoints are known to have ended, by instance
     */
    static PartBlame of(Map<Long, PartLosses> suspects, Map<String, Long> endedNanos) {
        List<Map.Entry<Long, PartLosses>> mostEndsFirst = new ArrayList<>(suspects.entrySet());
        mostEndsFirst.sort(Comparator.<Map.Entry<Long, PartLosses>>comparingInt(
                        e -> -e.getValue().endpoints())
                .thenComparing(Map.Entry::getKey));
        Map<Long, Set<Long>> alike = new HashMap<>();
        Set<String> explained = new HashSet<>();
        for (Map.Entry<Long, PartLosses> e : mostEndsFirst) {
            Optional<PartLosses> unexplained = e.getValue().without(explained::contains);
            if (unexplained.isPresent() && isEnough(unexplained.get(), explained, endedNanos)) {
                Set<String> endpoints = unexplained.get().byEndpoint().keySet();
                alike.put(e.getKey(), partsWith(endpoints, suspects));
                explained.addAll(endpoints);
            }
        }
        return alike.isEmpty() ? NONE : new PartBlame(alike);
    }

    private static boolean isEnough(PartLosses losses, Set<String> explained, Map<String, Long> endedNanos) {
        long others = endsWithout(losses, explained, endedNanos);
        int needed = MIN_ENDPOINTS + (others > FEW_OTHER_ENDS ? 1 : 0) + (others > losses.endpoints() ? 1 : 0);
        return losses.endpoints() >= needed && losses.trials() >= needed - 1;
    }

    /** Returns how many other endpoints are known to have ended meanwhile, for which no blamed part is the reason. */
    private static long endsWithout(PartLosses losses, Set<String> explained, Map<String, Long> endedNanos) {
        long last = losses.lastNanos();
        long first = Math.min(losses.firstNanos(), last - OTHER_ENDS_NANOS);
        return endedNanos.entrySet().stream()
                .filter(e -> e.getValue() >= first && e.getValue() <= last)
                .filter(e -> !losses.byEndpoint().containsKey(e.getKey()) && !explained.contains(e.getKey()))
                .count();
    }

    private static Set<Long> partsWith(Set<String> endpoints, Map<Long, PartLosses> suspects) {
        Set<Long> parts = new TreeSet<>();
        suspects.forEach((part, losses) -> {
            if (losses.byEndpoint().keySet().containsAll(endpoints)) {
                parts.add(part);
            }
        });
        return parts;
    }

    /** Whether a part is blamed, alone or with others. */
    boolean names(long part) {
        return alike.containsKey(part) || alike.values().stream().anyMatch(parts -> parts.contains(part));
    }

    /** Returns the blamed parts for which a prompt with these parts is blocked. */
    List<Long> blocking(Collection<Long> parts) {
        return parts.stream()
                .filter(p -> alike.containsKey(p) && parts.containsAll(alike.get(p)))
                .toList();
    }

    /** Returns the blamed parts, of those that cannot be told apart one. */
    Set<Long> parts() {
        return alike.keySet();
    }
}
