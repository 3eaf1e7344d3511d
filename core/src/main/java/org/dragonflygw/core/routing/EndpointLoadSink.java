package org.dragonflygw.core.routing;

/** Takes load statements that other daemons spread. Safe from every thread. */
public interface EndpointLoadSink {
    /** Takes a statement; older ones than the known one are ignored. */
    void accept(EndpointLoad load);
}
