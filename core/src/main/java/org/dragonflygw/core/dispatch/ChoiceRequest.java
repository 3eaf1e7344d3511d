package org.dragonflygw.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.resume.StreamOrigin;

/**
 * The input for choosing an endpoint.
 *
 * @param service service that the request is sent to
 * @param prompt prompt of the request
 * @param objectiveMs target time until the response begins, in milliseconds
 * @param remainingMs time until the request times out, in milliseconds
 * @param excluded ids of endpoints that failed or rejected the request before
 * @param avoided ids of endpoints that are chosen only if all others are above the load bound or cannot be reached
 * @param limitedEndpoints whether endpoints that name a limit are considered
 * @param origin where the stream began that is to go on, if one is
 */
public record ChoiceRequest(
        CatalogService service,
        Prompt prompt,
        long objectiveMs,
        long remainingMs,
        Set<String> excluded,
        Set<String> avoided,
        boolean limitedEndpoints,
        Optional<StreamOrigin> origin) {
    public ChoiceRequest {
        excluded = Set.copyOf(excluded);
        avoided = Set.copyOf(avoided);
    }

    /** Creates a request without a stream to go on with, which considers endpoints with a limit like the others. */
    public ChoiceRequest(
            CatalogService service, Prompt prompt, long objectiveMs, long remainingMs, Set<String> excluded) {
        this(service, prompt, objectiveMs, remainingMs, excluded, Set.of(), true, Optional.empty());
    }
}
