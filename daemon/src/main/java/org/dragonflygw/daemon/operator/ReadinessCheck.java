package org.dragonflygw.daemon.operator;

import java.util.Optional;

/** One condition that must hold before the balancer may send requests. Safe from every thread; does not block. */
public interface ReadinessCheck {
    /** Short name for operators. */
    String name();

    /** Why the daemon is not ready; empty when the condition holds. */
    Optional<String> problem();
}
