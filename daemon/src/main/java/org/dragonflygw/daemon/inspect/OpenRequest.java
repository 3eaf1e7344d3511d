package org.dragonflygw.daemon.inspect;

import org.dragonflygw.core.inspect.RequestView;

/** One open request. Its attempt and endpoint change; readers may see one of them later than the other. */
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

    /** The request was sent to an endpoint, by the one thread that runs it. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void dispatched(String endpoint) {
        endpointId = endpoint;
        attempt++;
    }

    RequestView view(String requestId, long nowMillis) {
        return new RequestView(requestId, team, service, chatId, endpointId, attempt, nowMillis - arrivalMillis);
    }
}
