package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.dispatch.PromptPart;

/**
 * The start of a prompt that an endpoint was given and now caches.
 *
 * @param endpoint id of the endpoint
 * @param parts the parts in order
 */
public record PromptHolding(String endpoint, List<PromptPart> parts) {
    public PromptHolding {
        parts = List.copyOf(parts);
    }
}
