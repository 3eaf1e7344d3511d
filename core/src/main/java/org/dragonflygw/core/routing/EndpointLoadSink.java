package org.dragonflygw.core.routing;

/** Receives load statements of other daemons. Implementations are thread safe. */
public interface EndpointLoadSink {
    /** Accepts a statement; ignored if a newer one about the same endpoint is known. */
    void accept(EndpointLoad load);
}
