package org.dragonflygw.standins.platform;

import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.Json;

/** The answer to a call that took effect, ready to be sent or lost. */
final class Answer {
    private static final int OK = 200;

    private final int status;
    private final String contentType;
    private final byte[] content;

    private Answer(int status, String contentType, byte[] content) {
        this.status = status;
        this.contentType = contentType;
        this.content = content;
    }

    static Answer json(Object value) {
        return new Answer(OK, "application/json", Json.write(value));
    }

    static Answer bytes(byte[] content) {
        return new Answer(OK, "application/octet-stream", content);
    }

    static Answer status(int status) {
        return new Answer(status, "", new byte[0]);
    }

    void send(Exchange exchange) {
        if (contentType.isEmpty()) {
            exchange.status(status);
        } else {
            exchange.bytes(status, contentType, content);
        }
    }
}
