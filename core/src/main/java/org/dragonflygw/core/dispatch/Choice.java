package org.dragonflygw.core.dispatch;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * The result of choosing an endpoint for a request.
 *
 * @param endpoint the chosen endpoint; empty if the request cannot be served now
 * @param expectedMs expected time until the response begins, in milliseconds; for {@link UnavailableReason#QUIET} and
 *     {@link UnavailableReason#LIMITED} the time until the first endpoint takes requests again
 * @param uncachedTokens number of prompt tokens that the endpoint has to read (prefill)
 * @param cacheSource another engine from which the endpoint can fetch uncached parts of the prompt
 * @param loadBound load in requests above which an endpoint of the service is a last resort; 0 if the choice has none
 * @param preference class of the endpoint among the candidates
 * @param reason why the request cannot be served; {@link UnavailableReason#NONE} if it can
 */
public record Choice(
        Optional<EndpointLoadState> endpoint,
        long expectedMs,
        int uncachedTokens,
        Optional<DiscoveredEndpoint> cacheSource,
        double loadBound,
        Preference preference,
        UnavailableReason reason) {
    static Choice none(UnavailableReason reason, long expectedMs) {
        return new Choice(Optional.empty(), expectedMs, 0, Optional.empty(), 0, Preference.PREFERRED, reason);
    }
}
