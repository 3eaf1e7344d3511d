package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The endpoints that ended under prompts with one part. Of several such prompts at an endpoint the strongest evidence counts,
 * so that hosts that learn of the same losses in another order agree.
 *
 * @param byEndpoint the losses by instance of the lost endpoint, at least one
 */
record PartLosses(Map<String, PartLoss> byEndpoint) {
    /** Number of lost endpoints after which further ones are no longer named, which bounds the reports. */
    private static final int MAX_ENDPOINTS = 12;

    PartLosses {
        byEndpoint = Map.copyOf(byEndpoint);
    }

    /** Returns these losses and others. */
    PartLosses with(Map<String, PartLoss> others) {
        Map<String, PartLoss> all = new HashMap<>(byEndpoint);
        others.forEach((endpoint, loss) -> {
            if (all.size() < MAX_ENDPOINTS || all.containsKey(endpoint)) {
                all.merge(endpoint, loss, PartLoss::stronger);
            }
        });
        return new PartLosses(all);
    }

    /** Returns whether a loss is new, or better evidence than what is known of the endpoint. */
    boolean isNews(String endpoint, PartLoss loss) {
        PartLoss known = byEndpoint.get(endpoint);
        return known == null || (loss.begun() && !known.begun());
    }

    /** Returns the losses of responses that were beginning; empty if there are none. */
    Optional<PartLosses> begun() {
        Map<String, PartLoss> begun = new HashMap<>(byEndpoint);
        begun.values().removeIf(loss -> !loss.begun());
        return ofNonEmpty(begun);
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

    /** Returns the number of {@link #inSequence losses that followed one another}. */
    int trials() {
        return inSequence().size();
    }

    /**
     * Returns the losses that followed one another: the request of each was sent after the loss before it. Of endpoints that
     * end together one is returned.
     */
    List<PartLoss> inSequence() {
        List<PartLoss> inOrder = new ArrayList<>(byEndpoint.values());
        inOrder.sort(Comparator.comparingLong(PartLoss::lostNanos));
        List<PartLoss> sequence = new ArrayList<>();
        long lastLostNanos = Long.MIN_VALUE;
        for (PartLoss loss : inOrder) {
            if (loss.sentNanos() >= lastLostNanos) {
                sequence.add(loss);
                lastLostNanos = loss.lostNanos();
            }
        }
        return sequence;
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
