package org.dragonflygw.core.ratelimit;

import java.util.Optional;
import java.util.function.Consumer;

/** Carries permit requests to other hosts. */
@FunctionalInterface
public interface PermitTransport {
    /**
     * Asks a host.
     *
     * @param listener receives the reply, or nothing if none came in time
     */
    void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener);
}
