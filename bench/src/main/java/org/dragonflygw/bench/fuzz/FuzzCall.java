package org.dragonflygw.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.request.RequestContext;

/**
 * The content of a request: a booking with an idempotency key, or a chat.
 *
 * @param key idempotency key; empty for a chat
 * @param content number that identifies the content of the request
 */
record FuzzCall(String key, int content) {
    static final long DEADLINE_MILLIS = 15_000;

    private static final int CHAT_TOKENS = 6;
    private static final long TOKEN_GAP_MILLIS = 1_000;
    private static final int RETRY_PERCENT = 50;
    private static final Team TEAM = new Team("clerks", "", 1, 0, 0);
    private static final Service MODEL = service("reviewer", ServiceKind.MODEL);
    private static final Service PLAIN = service("fees", ServiceKind.PLAIN);

    boolean isBooking() {
        return !key.isEmpty();
    }

    /** Returns team and key of a booking; empty for a chat. */
    String submission() {
        return isBooking() ? TEAM.name() + '/' + key : "";
    }

    /** Returns the tokens of the correct answer to the request with the given id. */
    List<String> answer(String requestId) {
        if (isBooking()) {
            return List.of("receipt-" + key + '-' + content);
        }
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < CHAT_TOKENS; i++) {
            tokens.add(requestId + '-' + content + '-' + i);
        }
        return tokens;
    }

    RequestContext context(String requestId, FuzzDaemon daemon) {
        return new RequestContext(
                requestId,
                TEAM,
                isBooking() ? PLAIN : MODEL,
                0,
                "",
                "",
                content,
                isBooking() ? content : requestId.hashCode(),
                100,
                daemon.clock().instant(),
                daemon.clock().instant().plusMillis(DEADLINE_MILLIS),
                isBooking() ? Optional.of(key) : Optional.empty(),
                isBooking());
    }

    private static Service service(String name, ServiceKind kind) {
        return new Service(name, kind, name, name, 1.25, 4, 8, DEADLINE_MILLIS, TOKEN_GAP_MILLIS, RETRY_PERCENT, true);
    }
}
