package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.dispatch.PromptPart;

/**
 * A prompt prefix that a host sent to an endpoint.
 *
 * @param endpoint short hash of the endpoint's id
 * @param parts parts of the prefix, in order
 */
public record SharedPrefix(int endpoint, List<PromptPart> parts) {
    public SharedPrefix {
        parts = List.copyOf(parts);
    }
}
