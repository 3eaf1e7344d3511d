package org.dragonflygw.standins.command;

/** A stand-in that was started. */
public interface RunningStandin {
    /** Its port. */
    int port();

    /** Stops it. */
    void stop();
}
