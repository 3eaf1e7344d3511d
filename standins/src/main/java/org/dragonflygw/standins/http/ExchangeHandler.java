package org.dragonflygw.standins.http;

/** Takes requests whose bodies were read whole. It must not block; it may answer later from any thread. */
public interface ExchangeHandler {
    /** Takes one request. A {@link StandinException} that it throws becomes a 400 answer. */
    void handle(Exchange exchange);
}
