package org.dragonflygw.edge.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Questions to other hosts whose replies are awaited.
 *
 * @param <T> type of the reply
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
final class PendingReplies<T> {
    private final PeerSocket socket;
    private final long timeoutMs;
    private final Map<Long, Consumer<Optional<T>>> listeners = new HashMap<>();
    private long nextId;

    /**
     * Creates an empty table.
     *
     * @param timeoutMs time after which a listener is told that no reply came, in milliseconds
     */
    PendingReplies(PeerSocket socket, long timeoutMs) {
        this.socket = socket;
        this.timeoutMs = timeoutMs;
    }

    /** Adds a question that is about to be sent, and returns its id. */
    long add(Consumer<Optional<T>> listener) {
        long id = nextId++;
        listeners.put(id, listener);
        socket.loop().schedule(() -> end(id, Optional.empty()), timeoutMs, TimeUnit.MILLISECONDS);
        return id;
    }

    /** Ends a question with its reply; a late or second one is ignored. */
    void end(long id, Optional<T> reply) {
        Consumer<Optional<T>> listener = listeners.remove(id);
        if (listener != null) {
            listener.accept(reply);
        }
    }
}
