package org.dragonflygw.daemon.inspect;

import org.dragonflygw.core.inspect.RequestView;

/**
 * An open request. Its attempt number and endpoint are updated one after the other, so a reader may see a new value of
 * one with the old value of the other.
 */
final class OpenRequest {
    private final String team;
    private final String service;
    private final String chatId;
    private final long arrivalMillis;
    private volatile String endpointId = "";
    private volatile int attempt;

    OpenRequest(String team, String service, String chatId, long arrivalMillis) {
        this.team = team;
        this.service = service;
        this.chatId = chatId;
        this.arrivalMillis = arrivalMillis;
    }

    String team() {
        return team;
    }

    long arrivalMillis() {
        return arrivalMillis;
    }

    /** Records a dispatch. Called only by the thread that runs the request. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void onDispatched(String endpoint) {
        endpointId = endpoint;
        attempt++;
    }

    RequestView toView(String requestId, long nowMillis) {
        return new RequestView(requestId, team, service, chatId, endpointId, attempt, nowMillis - arrivalMillis);
    }
}
