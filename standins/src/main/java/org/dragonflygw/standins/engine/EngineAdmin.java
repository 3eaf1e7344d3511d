package org.dragonflygw.standins.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.time.LaggedValue;

/** Serves the calls of an engine other than chat completions: load, cache events, executions, orders, KV transfer. */
final class EngineAdmin {
    private static final int NOT_FOUND = 404;
    private static final int NO_CONTENT = 204;
    private static final String ORDERS = "/orders/";
    private static final String KV = "/kv/";

    private final EngineCore core;
    private final CacheEventLog cacheEvents;
    private final OrderTracker orders;
    private final LaggedValue<LoadReport> load;
    private final ChatHandler chats;

    EngineAdmin(
            EngineCore core,
            CacheEventLog cacheEvents,
            OrderTracker orders,
            LaggedValue<LoadReport> load,
            ChatHandler chats) {
        this.core = core;
        this.cacheEvents = cacheEvents;
        this.orders = orders;
        this.load = load;
        this.chats = chats;
    }

    void handle(Exchange exchange) {
        String path = exchange.path();
        String method = exchange.method();
        if (path.startsWith(KV)) {
            transfer(exchange, path.substring(KV.length()));
            return;
        }
        if (path.startsWith(ORDERS) && method.equals("GET")) {
            showOrder(exchange, path.substring(ORDERS.length()));
            return;
        }
        switch (method + " " + path) {
            case "GET /load" -> exchange.json(200, load.read());
            case "GET /cache-events" -> exchange.json(200, cacheEvents.after(exchange.queryNumber("after", 0)));
            case "GET /executions" -> exchange.json(200, List.copyOf(chats.executions()));
            case "POST /orders" -> placeOrder(exchange);
            default -> exchange.error(NOT_FOUND, "NO_SUCH_CALL");
        }
    }

    private void placeOrder(Exchange exchange) {
        Order order = exchange.body(Order.class);
        OrderStatus status = orders.place(order);
        if (status == OrderStatus.STALE_FENCING) {
            exchange.error(status.httpStatus(), status.name());
            return;
        }
        exchange.json(status.httpStatus(), new OrderAnswer(order.orderId(), status));
    }

    private void showOrder(Exchange exchange, String orderId) {
        Optional<OrderStatus> status = orders.status(orderId);
        if (status.isEmpty()) {
            exchange.error(NOT_FOUND, "UNKNOWN_ORDER");
            return;
        }
        exchange.json(200, new OrderAnswer(orderId, status.get()));
    }

    private void transfer(Exchange exchange, String prefix) {
        if (exchange.method().equals("PUT")) {
            core.storePrefix(prefix, exchange.body(KvBlock.class).tokens());
            exchange.status(NO_CONTENT);
            return;
        }
        OptionalLong tokens = core.cachedTokens(prefix);
        if (tokens.isEmpty()) {
            exchange.error(NOT_FOUND, "UNKNOWN_PREFIX");
            return;
        }
        exchange.json(200, new KvBlock(prefix, tokens.getAsLong()));
    }

    private record OrderAnswer(String orderId, OrderStatus state) {}

    private record KvBlock(String prefix, long tokens) {}
}
