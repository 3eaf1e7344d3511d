package org.dragonflygw.daemon.grant;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;

/** A slot whose end is told once. */
final class StewardGrant implements EndpointGrant {
    private final Endpoint endpoint;
    private final Consumer<AttemptOutcome> onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();

    StewardGrant(Endpoint endpoint, Consumer<AttemptOutcome> onEnd) {
        this.endpoint = endpoint;
        this.onEnd = onEnd;
    }

    @Override
    public Endpoint endpoint() {
        return endpoint;
    }

    @Override
    public void end(AttemptOutcome outcome) {
        if (ended.compareAndSet(false, true)) {
            onEnd.accept(outcome);
        }
    }
}
