package org.dragonflygw.daemon.peer;

/**
 * Takes the answer to a call of another daemon, now or later and from any thread. Only the first call counts.
 *
 * @param <T> type of the answer
 */
public interface PeerReply<T> {
    /** Sends the answer. */
    void send(T answer);

    /** Tells the other daemon that there is no answer. */
    void fail(RuntimeException cause);
}
