package org.dragonflygw.daemon.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.routing.GrantAge;

/** A slot that grows too old for a dispatch, and whose end is told once. Safe from every thread. */
public final class ExpiringGrant implements EndpointGrant {
    private final Endpoint endpoint;
    private final GrantAge age;
    private final Consumer<AttemptOutcome> onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();

    /**
     * Makes a slot.
     *
     * @param endpoint endpoint that holds it
     * @param age age of the slot since it was asked for
     * @param onEnd told the outcome of the first end
     */
    public ExpiringGrant(Endpoint endpoint, GrantAge age, Consumer<AttemptOutcome> onEnd) {
        this.endpoint = endpoint;
        this.age = age;
        this.onEnd = onEnd;
    }

    @Override
    public Endpoint endpoint() {
        return endpoint;
    }

    @Override
    public boolean mayDispatch() {
        return age.mayDispatch(System.nanoTime());
    }

    @Override
    public void end(AttemptOutcome outcome) {
        if (ended.compareAndSet(false, true)) {
            onEnd.accept(outcome);
        }
    }
}
