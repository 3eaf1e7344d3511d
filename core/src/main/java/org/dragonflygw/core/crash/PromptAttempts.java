package org.dragonflygw.core.crash;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prompts of this host at all endpoints. Not thread-safe. */
final class PromptAttempts {
    /** Maximum number of endpoints at which nothing is open and that are remembered. */
    private static final int MAX_ENDPOINTS = 1_000;

    private final Map<String, EndpointAttempts> byInstance = new LinkedHashMap<>();

    /** Records a prompt that is sent. */
    PromptAttempt open(List<Long> parts, String instance, long nowNanos) {
        EndpointAttempts endpoint = byInstance.get(instance);
        if (endpoint == null) {
            if (byInstance.size() >= MAX_ENDPOINTS) {
                byInstance.values().removeIf(e -> e.isIdle(nowNanos));
            }
            endpoint = new EndpointAttempts(instance, nowNanos);
            byInstance.put(instance, endpoint);
        }
        PromptAttempt attempt = new PromptAttempt(parts, endpoint, nowNanos);
        endpoint.add(attempt);
        return attempt;
    }

    /** Records that the address of an endpoint accepted a connection. */
    void onAddressAccepted(String instance) {
        EndpointAttempts endpoint = byInstance.get(instance);
        if (endpoint != null) {
            endpoint.onAddressAccepted();
        }
    }

    /** Records that another endpoint has the address of one. */
    void onAddressTaken(String instance) {
        EndpointAttempts endpoint = byInstance.get(instance);
        if (endpoint != null) {
            endpoint.onAddressTaken();
        }
    }

    /** Returns the number of endpoints that prompts were sent to and that are not known to have ended. */
    int endpoints() {
        return byInstance.size();
    }

    /** Returns the prompts that are at an endpoint or were there shortly before. */
    List<PromptAttempt> recent(String instance, long nowNanos) {
        EndpointAttempts endpoint = byInstance.get(instance);
        return endpoint == null ? List.of() : endpoint.recent(nowNanos);
    }

    /** Records that an endpoint ended; requests that are sent there later are none of its. */
    void end(String instance) {
        EndpointAttempts endpoint = byInstance.remove(instance);
        if (endpoint != null) {
            endpoint.end();
        }
    }
}
