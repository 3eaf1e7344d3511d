package org.dragonflygw.daemon.caller;

import java.io.IOException;
import java.io.OutputStream;

/** The answer to a caller, with everything that is held until it is written. For one thread. */
public interface CallerResponse extends AutoCloseable {
    /** HTTP status. */
    int status();

    /** Content type of the body. */
    String contentType();

    /** Whether this is the stored answer to an earlier submission with the same key. */
    default boolean isReplayed() {
        return false;
    }

    /** Writes the body. Failures of the endpoint are told to the caller; those of the caller's connection are thrown. */
    void write(OutputStream out) throws IOException;

    /** Ends the request in any case; later calls do nothing. */
    @Override
    void close();
}
