package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * The engines from which another engine can fetch the prefix of one prompt: those that cache most of it, and those that
 * are first in the rendezvous order.
 */
final class PromptHolders {
    /** Failure score from which an engine is not used as a source. */
    private static final double MAX_SOURCE_FAILURE_SCORE = 1;

    private final Prompt prompt;
    private EndpointLoadState mostCached;
    private EndpointLoadState secondMostCached;
    private int mostTokens;
    private int secondMostTokens;
    private EndpointLoadState firstInOrder;
    private EndpointLoadState secondInOrder;

    /** Finds the best two engines of each kind in one pass. */
    PromptHolders(List<EndpointLoadState> engines, Prompt prompt, long nowNanos) {
        this.prompt = prompt;
        for (EndpointLoadState e : engines) {
            updateFirst(e);
            if (!e.isBlocked(nowNanos) && e.failureScore(nowNanos) < MAX_SOURCE_FAILURE_SCORE) {
                updateMostCached(e, e.cached().cachedTokens(prompt, nowNanos));
            }
        }
    }

    private void updateMostCached(EndpointLoadState e, int tokens) {
        if (tokens > mostTokens) {
            secondMostCached = mostCached;
            secondMostTokens = mostTokens;
            mostCached = e;
            mostTokens = tokens;
        } else if (tokens > secondMostTokens) {
            secondMostCached = e;
            secondMostTokens = tokens;
        }
    }

    private void updateFirst(EndpointLoadState e) {
        if (firstInOrder == null || ranksBefore(e, firstInOrder)) {
            secondInOrder = firstInOrder;
            firstInOrder = e;
        } else if (secondInOrder == null || ranksBefore(e, secondInOrder)) {
            secondInOrder = e;
        }
    }

    private boolean ranksBefore(EndpointLoadState a, EndpointLoadState b) {
        return RendezvousOrder.score(a, prompt.sharedKey()) > RendezvousOrder.score(b, prompt.sharedKey());
    }

    /** Returns the engine, other than the target, that caches most of the prompt, if more than {@code cachedTokens}. */
    Optional<EndpointLoadState> bestHolder(EndpointLoadState target, int cachedTokens) {
        boolean useSecond = mostCached == target;
        EndpointLoadState best = useSecond ? secondMostCached : mostCached;
        int tokens = useSecond ? secondMostTokens : mostTokens;
        return tokens > cachedTokens ? Optional.ofNullable(best) : Optional.empty();
    }

    /**
     * Returns the first engine in the rendezvous order other than the target. Other hosts have probably sent prompts
     * with the same prefix to this engine.
     */
    Optional<EndpointLoadState> likelyHolder(EndpointLoadState target) {
        if (prompt.sharedKey() == 0) {
            return Optional.empty();
        }
        return Optional.ofNullable(firstInOrder == target ? secondInOrder : firstInOrder);
    }
}
