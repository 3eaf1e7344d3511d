package org.dragonflygw.standins.http;

/** Handles requests whose bodies are fully read. Must not block; may respond later from any thread. */
public interface ExchangeHandler {
    /** Handles one request. A thrown {@link StandinException} is sent as a 400 response with its message. */
    void handle(Exchange exchange);
}
