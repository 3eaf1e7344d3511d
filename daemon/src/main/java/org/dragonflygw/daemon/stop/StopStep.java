package org.dragonflygw.daemon.stop;

import java.util.function.Consumer;

/**
 * A step of a planned stop that hands a duty over to other daemons. Steps run one after another in the order of their
 * binding.
 */
public interface StopStep {
    /** Short name for operators. */
    String name();

    /**
     * Hands the duty over and returns when that is done.
     *
     * @param progress receives a short text for operators on each progress
     */
    void run(Consumer<String> progress);
}
