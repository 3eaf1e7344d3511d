package org.dragonflygw.core.resume;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Carries to other hosts where streams began. */
public interface OriginTransport {
    /** Tells hosts where the stream of an attempt begins. */
    void tell(List<String> hosts, String attempt, StreamOrigin origin);

    /**
     * Asks a host where the stream of an attempt began.
     *
     * @param service service that is asked for now
     * @param listener receives the reply, or nothing if none came in time
     */
    void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener);
}
