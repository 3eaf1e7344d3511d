package org.dragonflygw.edge.upstream;

/** A request under way to an endpoint. */
public interface Attempt {
    /** Closes its connection, so that the endpoint stops its work. */
    void cancel();

    /** Whether the answer is to be read on; false while the caller reads slowly. */
    void setAutoRead(boolean wanted);
}
