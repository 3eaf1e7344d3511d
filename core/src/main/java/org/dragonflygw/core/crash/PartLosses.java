package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The endpoints that ended while they were beginning to write an answer to a prompt with one part. Of several such prompts
 * at an endpoint the one that was sent first counts, so that hosts that learn of the same losses in another order agree.
 *
 * @param byEndpoint the losses by instance of the lost endpoint, at least one
 */
record PartLosses(Map<String, PartLoss> byEndpoint) {
    /** Number of lost endpoints after which further ones are no longer named, which bounds the reports. */
    private static final int MAX_ENDPOINTS = 8;

    PartLosses {
        byEndpoint = Map.copyOf(byEndpoint);
    }

    /** Returns these losses and others. */
    PartLosses with(Map<String, PartLoss> others) {
        Map<String, PartLoss> all = new HashMap<>(byEndpoint);
        others.forEach((endpoint, loss) -> {
            if (all.size() < MAX_ENDPOINTS || all.containsKey(endpoint)) {
                all.merge(endpoint, loss, (a, b) -> a.sentNanos() <= b.sentNanos() ? a : b);
            }
        });
        return new PartLosses(all);
    }

    /** Returns the losses after a moment; empty if there are none. */
    Optional<PartLosses> after(long nanos) {
        Map<String, PartLoss> later = new HashMap<>(byEndpoint);
        later.values().removeIf(loss -> loss.lostNanos() <= nanos);
        return ofNonEmpty(later);
    }

    /** Returns the losses of other endpoints than some; empty if there are none. */
    Optional<PartLosses> without(Predicate<String> endpoints) {
        Map<String, PartLoss> others = new HashMap<>(byEndpoint);
        others.keySet().removeIf(endpoints);
        return ofNonEmpty(others);
    }

    private static Optional<PartLosses> ofNonEmpty(Map<String, PartLoss> losses) {
        return losses.isEmpty() ? Optional.empty() : Optional.of(new PartLosses(losses));
    }

    int endpoints() {
        return byEndpoint.size();
    }

    /**
     * Returns the number of losses that followed one another: the request of each was sent after the loss before it. Losses
     * of endpoints that end together count as one.
     */
    int trials() {
        List<PartLoss> inOrder = new ArrayList<>(byEndpoint.values());
        inOrder.sort(Comparator.comparingLong(PartLoss::lostNanos));
        int trials = 0;
        long lastLostNanos = Long.MIN_VALUE;
        for (PartLoss loss : inOrder) {
            if (loss.sentNanos() >= lastLostNanos) {
                trials++;
                lastLostNanos = loss.lostNanos();
            }
        }
        return trials;
    }

    /** Returns when the first endpoint was lost, on the monotonic clock. */
    long firstNanos() {
        return byEndpoint.values().stream().mapToLong(PartLoss::lostNanos).min().orElseThrow();
    }

    /** Returns when the last endpoint was lost, on the monotonic clock. */
    long lastNanos() {
        return byEndpoint.values().stream().mapToLong(PartLoss::lostNanos).max().orElseThrow();
    }
}
