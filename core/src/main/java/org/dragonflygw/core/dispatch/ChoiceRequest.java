package org.dragonflygw.core.dispatch;

import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;

/**
 * What a choice of endpoint depends on.
 *
 * @param service where the request goes
 * @param prompt its prompt
 * @param objectiveMs time within which an answer that begins is on time, in milliseconds
 * @param remainingMs time that is left to answer it, in milliseconds
 * @param excluded endpoints that failed or rejected it before
 */
public record ChoiceRequest(
        CatalogService service, Prompt prompt, long objectiveMs, long remainingMs, Set<String> excluded) {
    public ChoiceRequest {
        excluded = Set.copyOf(excluded);
    }
}
