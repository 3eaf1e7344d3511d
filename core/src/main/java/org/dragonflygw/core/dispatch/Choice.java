package org.dragonflygw.core.dispatch;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * The outcome of a choice.
 *
 * @param endpoint the endpoint, empty if the request cannot be served now
 * @param expectedMs time until the answer begins, in milliseconds
 * @param uncachedTokens prompt tokens that the endpoint has to read
 * @param cacheSource another engine from which the endpoint can fetch what it does not cache
 * @param reason why the request cannot be served; {@link UnavailableReason#NONE} if it can
 */
public record Choice(
        Optional<EndpointLoadState> endpoint,
        long expectedMs,
        int uncachedTokens,
        Optional<DiscoveredEndpoint> cacheSource,
        UnavailableReason reason) {
    static Choice none(UnavailableReason reason, long expectedMs) {
        return new Choice(Optional.empty(), expectedMs, 0, Optional.empty(), reason);
    }
}
