package org.dragonflygw.standins.platform;

import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.standins.http.Exchange;

/** Serves the HTTP calls under {@code /admin/} that change the host list. */
final class HostAdmin {
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final String HOSTS = "/admin/hosts";

    private final HostRegistry hosts;

    HostAdmin(HostRegistry hosts) {
        this.hosts = hosts;
    }

    void handle(Exchange exchange) {
        String path = exchange.path();
        if (path.equals(HOSTS) && exchange.method().equals("POST")) {
            hosts.register(exchange.body(HostEntry.class));
            exchange.status(NO_CONTENT);
            return;
        }
        if (!path.startsWith(HOSTS + "/")) {
            exchange.error(NOT_FOUND, "NO_SUCH_CALL");
            return;
        }
        String id = path.substring(HOSTS.length() + 1);
        answer(exchange, change(exchange, id));
    }

    private boolean change(Exchange exchange, String id) {
        return switch (exchange.method()) {
            case "DELETE" -> hosts.remove(id);
            case "POST" -> hosts.setState(id, exchange.body(StateBody.class).state());
            default -> false;
        };
    }

    private static void answer(Exchange exchange, boolean known) {
        if (known) {
            exchange.status(NO_CONTENT);
        } else {
            exchange.error(NOT_FOUND, "UNKNOWN_HOST");
        }
    }

    private record StateBody(HostState state) {}
}
