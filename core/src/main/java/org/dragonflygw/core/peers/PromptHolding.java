package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.dispatch.PromptPart;

/**
 * A prompt prefix that was sent to an endpoint and is now in the endpoint's cache.
 *
 * @param endpoint id of the endpoint
 * @param parts parts of the prefix, in order
 */
public record PromptHolding(String endpoint, List<PromptPart> parts) {
    public PromptHolding {
        parts = List.copyOf(parts);
    }
}
