package org.dragonflygw.daemon.caller;

import java.io.IOException;
import java.io.OutputStream;

/**
 * Response to a caller, together with the resources (stream, grant, claim) it holds until it is written. Not
 * thread-safe.
 */
public interface CallerResponse extends AutoCloseable {
    /** HTTP status. */
    int status();

    /** Content type of the body. */
    String contentType();

    /** Whether this is the stored answer to an earlier submission with the same idempotency key. */
    default boolean isReplayed() {
        return false;
    }

    /**
     * Writes the body. A failure of the endpoint is reported to the caller in the body.
     *
     * @throws IOException when the connection to the caller fails
     */
    void write(OutputStream out) throws IOException;

    /** Releases everything that the response holds, whether or not it was written. Further calls have no effect. */
    @Override
    void close();
}
