package org.dragonflygw.standins.command;

/** A started stand-in. */
public interface RunningStandin {
    /** Returns the port on which the stand-in listens. */
    int port();

    /** Stops the stand-in and closes its port. */
    void stop();
}
