package org.dragonflygw.core.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a host keeps in the store about crashes of endpoints.
 *
 * @param requests requests under which endpoints were lost
 * @param parts parts of prompts under which endpoints ended
 */
public record StoredCrashes(List<CrashSuspect> requests, List<PartSuspect> parts) {
    /** Nothing known. */
    public static final StoredCrashes NONE = new StoredCrashes(List.of(), List.of());

    public StoredCrashes {
        requests = List.copyOf(requests);
        parts = List.copyOf(parts);
    }

    /** Returns the lost endpoints by fingerprint of the request or id of the part. */
    Map<Long, Set<String>> endpoints() {
        Map<Long, Set<String>> endpoints = new HashMap<>();
        requests.forEach(r -> endpoints.put(r.fingerprint(), r.endpoints()));
        parts.forEach(p -> endpoints.put(p.part(), p.endpoints()));
        return endpoints;
    }
}
