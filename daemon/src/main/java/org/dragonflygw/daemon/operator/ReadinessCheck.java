package org.dragonflygw.daemon.operator;

import java.util.Optional;

/**
 * A condition that must hold before the load balancer may send requests. Implementations are thread-safe and do not
 * block.
 */
public interface ReadinessCheck {
    /** Short name for operators. */
    String name();

    /** Describes why the condition does not hold; empty when it holds. */
    Optional<String> problem();
}
