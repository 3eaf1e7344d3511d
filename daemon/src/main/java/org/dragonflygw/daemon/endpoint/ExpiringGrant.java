package org.dragonflygw.daemon.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.routing.GrantAge;

/** A grant that can be used for a dispatch only until its maximum age, and whose end is reported once. Thread-safe. */
public final class ExpiringGrant implements EndpointGrant {
    private final Endpoint endpoint;
    private final GrantAge age;
    private final Consumer<AttemptOutcome> onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();

    /**
     * Creates a grant.
     *
     * @param endpoint endpoint of the slot
     * @param age age of the grant since it was requested
     * @param onEnd receives the outcome of the first call to {@link #end}
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
