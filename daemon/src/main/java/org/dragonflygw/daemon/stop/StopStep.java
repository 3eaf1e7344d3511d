package org.dragonflygw.daemon.stop;

import java.util.function.Consumer;

/** A duty that is handed over in a planned stop. Steps run one after another in the order of their binding. */
public interface StopStep {
    /** Short name for operators. */
    String name();

    /**
     * Hands the duty over; returns when that is done.
     *
     * @param progress takes a short text whenever there is progress
     */
    void run(Consumer<String> progress);
}
