package org.dragonflygw.core.dispatch;

import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;

/**
 * The input for choosing an endpoint.
 *
 * @param service service that the request is sent to
 * @param prompt prompt of the request
 * @param objectiveMs target time until the response begins, in milliseconds
 * @param remainingMs time until the request times out, in milliseconds
 * @param excluded ids of endpoints that failed or rejected the request before
 * @param limitedEndpoints whether endpoints that name a limit are considered
 */
public record ChoiceRequest(
        CatalogService service,
        Prompt prompt,
        long objectiveMs,
        long remainingMs,
        Set<String> excluded,
        boolean limitedEndpoints) {
    public ChoiceRequest {
        excluded = Set.copyOf(excluded);
    }

    /** Creates a request that considers endpoints with a limit like the others. */
    public ChoiceRequest(
            CatalogService service, Prompt prompt, long objectiveMs, long remainingMs, Set<String> excluded) {
        this(service, prompt, objectiveMs, remainingMs, excluded, true);
    }
}
