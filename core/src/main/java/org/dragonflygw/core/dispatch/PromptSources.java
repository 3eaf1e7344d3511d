package org.dragonflygw.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The engines from which other engines can fetch the prefix of one prompt, by their software version: what one version
 * keeps of a prompt is not known to fit another. Not thread-safe.
 */
final class PromptSources {
    private final List<EndpointLoadState> engines;
    private final Prompt prompt;
    private final long nowNanos;
    private final Map<String, PromptHolders> byVersion = new HashMap<>();

    PromptSources(List<EndpointLoadState> engines, Prompt prompt, long nowNanos) {
        this.engines = engines;
        this.prompt = prompt;
        this.nowNanos = nowNanos;
    }

    /** Returns the engines that an engine can fetch from. */
    PromptHolders forTarget(EndpointLoadState target) {
        return byVersion.computeIfAbsent(target.entry().version(), this::holders);
    }

    private PromptHolders holders(String version) {
        List<EndpointLoadState> same = engines.stream()
                .filter(e -> e.entry().version().equals(version))
                .toList();
        return new PromptHolders(same, prompt, nowNanos);
    }
}
