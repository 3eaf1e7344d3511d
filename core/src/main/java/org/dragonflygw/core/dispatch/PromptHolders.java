package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.Optional;

/** Engines from which another can fetch the start of one prompt: those that cache most of it, and the likeliest ones. */
final class PromptHolders {
    /** Failure score from which an engine is not asked for cached tokens. */
    private static final double MAX_SOURCE_FAILURES = 1;

    private final Prompt prompt;
    private EndpointLoadState most;
    private EndpointLoadState secondMost;
    private int mostTokens;
    private int secondMostTokens;
    private EndpointLoadState first;
    private EndpointLoadState second;

    /** Looks through all engines of a service once. */
    PromptHolders(List<EndpointLoadState> engines, Prompt prompt, long nowNanos) {
        this.prompt = prompt;
        for (EndpointLoadState e : engines) {
            noteOrder(e);
            if (!e.isBlocked(nowNanos) && e.failureScore(nowNanos) < MAX_SOURCE_FAILURES) {
                noteTokens(e, e.cached().cachedTokens(prompt, nowNanos));
            }
        }
    }

    private void noteTokens(EndpointLoadState e, int tokens) {
        if (tokens > mostTokens) {
            secondMost = most;
            secondMostTokens = mostTokens;
            most = e;
            mostTokens = tokens;
        } else if (tokens > secondMostTokens) {
            secondMost = e;
            secondMostTokens = tokens;
        }
    }

    private void noteOrder(EndpointLoadState e) {
        if (first == null || before(e, first)) {
            second = first;
            first = e;
        } else if (second == null || before(e, second)) {
            second = e;
        }
    }

    private boolean before(EndpointLoadState a, EndpointLoadState b) {
        return RendezvousOrder.score(a, prompt.sharedKey()) > RendezvousOrder.score(b, prompt.sharedKey());
    }

    /** The engine other than the target that is known to cache most of the prompt, if it is more than a number of tokens. */
    Optional<EndpointLoadState> bestHolder(EndpointLoadState target, int cachedTokens) {
        boolean useSecond = most == target;
        EndpointLoadState best = useSecond ? secondMost : most;
        int tokens = useSecond ? secondMostTokens : mostTokens;
        return tokens > cachedTokens ? Optional.ofNullable(best) : Optional.empty();
    }

    /** The engine that other hosts are likely to have sent such prompts to: the first of the order but the target. */
    Optional<EndpointLoadState> likelyHolder(EndpointLoadState target) {
        if (prompt.sharedKey() == 0) {
            return Optional.empty();
        }
        return Optional.ofNullable(first == target ? second : first);
    }
}
