package org.dragonflygw.standins.engine;

/** Sends the tokens of a stream to the client connection that requested them. */
interface ResponseSender {
    /** Called when the stream has more tokens, finished or was cancelled. */
    void onProgress();
}
