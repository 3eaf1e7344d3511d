package org.dragonflygw.standins.engine;

/** Sends the tokens of a stream to the connection that asked for them. */
interface ResponseSender {
    /** The stream has more tokens, or ended. */
    void onProgress();
}
