package org.dragonflygw.standins.platform;

import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.Json;

/** Response to a store call that took effect. It is sent later, or discarded when a fault loses it. */
final class StoreResponse {
    private static final int OK = 200;

    private final int status;
    private final String contentType;
    private final byte[] content;

    private StoreResponse(int status, String contentType, byte[] content) {
        this.status = status;
        this.contentType = contentType;
        this.content = content;
    }

    static StoreResponse json(Object value) {
        return new StoreResponse(OK, "application/json", Json.write(value));
    }

    static StoreResponse bytes(byte[] content) {
        return new StoreResponse(OK, "application/octet-stream", content);
    }

    static StoreResponse status(int status) {
        return new StoreResponse(status, "", new byte[0]);
    }

    void send(Exchange exchange) {
        if (contentType.isEmpty()) {
            exchange.status(status);
        } else {
            exchange.bytes(status, contentType, content);
        }
    }
}
