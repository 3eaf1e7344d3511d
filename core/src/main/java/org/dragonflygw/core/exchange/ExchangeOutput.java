package org.dragonflygw.core.exchange;

/** What an exchange asks of the network. Calls return at once; what follows is told to the exchange as events. */
public interface ExchangeOutput {
    /** Sends the request to an endpoint. */
    void send(Dispatch dispatch);

    /** Ends the attempt under way by closing its connection, so that the endpoint stops its work. */
    void cancelAttempt();

    /** Starts the answer to the caller. */
    void forwardHead(ResponseHead head);

    /** Passes a part of the body on. */
    void forwardBody(byte[] body);

    /** Ends the answer as complete. */
    void finish();

    /** Ends the answer so that it cannot look complete. */
    void abort();

    /** Answers in place of an endpoint. */
    void reject(Rejection rejection);

    /** Asks for {@link Exchange#onTimer} at a time of the monotonic clock; a later call replaces an earlier one. */
    void wakeAt(long nanos);
}
