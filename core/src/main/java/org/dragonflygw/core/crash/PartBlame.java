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

    /** Chance below which losses are not put down to chance: one in the parts that a busy fleet sees in some hours. */
    private static final double MAX_CHANCE = 1e-6;

    /** The same for losses while responses were beginning, of which a crash has few. */
    private static final double MAX_CHANCE_BEGUN = 3e-4;

    /** Factor of the chance of each loss if all ends are losses of the part: a popular part would have been answered. */
    private static final double IN_EACH_END = 0.4;

    /** Factor by which one end without the part makes it more likely that chance explains the others. */
    private static final double PER_OTHER_END = 2;

    /** The parts that have the same ends as a blamed part, itself included. */
    private final Map<Long, Set<Long>> alike;

    private PartBlame(Map<Long, Set<Long>> alike) {
        this.alike = Map.copyOf(alike);
    }

    /**
     * Decides which parts are blamed.
     *
     * @param suspects losses of the parts with {@link #MIN_ENDPOINTS} lost endpoints or more
     */
    static PartBlame of(Map<Long, PartLosses> suspects, EndpointEnds ends) {
        List<Map.Entry<Long, PartLosses>> mostEndsFirst = new ArrayList<>(suspects.entrySet());
        mostEndsFirst.sort(Comparator.<Map.Entry<Long, PartLosses>>comparingInt(
                        e -> -e.getValue().endpoints())
                .thenComparing(Map.Entry::getKey));
        Map<Long, Set<Long>> alike = new HashMap<>();
        Set<String> explained = new HashSet<>();
        for (Map.Entry<Long, PartLosses> e : mostEndsFirst) {
            Optional<PartLosses> unexplained = e.getValue().without(explained::contains);
            if (unexplained.isPresent() && isEnough(unexplained.get(), explained, ends)) {
                Set<String> endpoints = unexplained.get().byEndpoint().keySet();
                alike.put(e.getKey(), partsWith(endpoints, suspects));
                explained.addAll(endpoints);
            }
        }
        return alike.isEmpty() ? NONE : new PartBlame(alike);
    }

    private static boolean isEnough(PartLosses losses, Set<String> explained, EndpointEnds ends) {
        if (losses.begun().isPresent() && isEnoughBegun(losses.begun().get(), explained, ends)) {
            return true;
        }
        return losses.trials() >= MIN_ENDPOINTS && chance(losses, explained, ends) <= MAX_CHANCE;
    }

    private static boolean isEnoughBegun(PartLosses losses, Set<String> explained, EndpointEnds ends) {
        long last = losses.lastNanos();
        long first = Math.min(losses.firstNanos(), last - OTHER_ENDS_NANOS);
        long others = ends.between(first, last, losses.byEndpoint().keySet(), explained);
        int needed = MIN_ENDPOINTS + (others > FEW_OTHER_ENDS ? 1 : 0) + (others > losses.endpoints() ? 1 : 0);
        return losses.endpoints() >= needed
                && losses.trials() >= needed - 1
                && chance(losses, explained, ends) <= MAX_CHANCE_BEGUN;
    }

    /** Returns the estimated chance that a sound part has such losses one after the other without an answer. */
    static double chance(PartLosses losses, Set<String> explained, EndpointEnds ends) {
        long others = ends.between(
                losses.firstNanos(), losses.lastNanos(), losses.byEndpoint().keySet(), explained);
        double chance = 1;
        double inEachEnd = Math.pow(PER_OTHER_END, (double) others);
        for (PartLoss loss : losses.inSequence()) {
            chance *= Math.max(loss.chance(), ends.shareTogether(loss.lostNanos()));
            inEachEnd *= IN_EACH_END;
        }
        return chance * Math.min(1, inEachEnd);
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
