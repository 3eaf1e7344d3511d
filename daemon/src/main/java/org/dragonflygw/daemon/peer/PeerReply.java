package org.dragonflygw.daemon.peer;

/**
 * Receives the answer to a call of another daemon, immediately or later and from any thread. Calls after the first one are
 * ignored.
 *
 * @param <T> type of the answer
 */
public interface PeerReply<T> {
    /** Sends the answer. */
    void send(T answer);

    /** Fails the call; the other daemon receives the message of the cause. */
    void fail(RuntimeException cause);
}
