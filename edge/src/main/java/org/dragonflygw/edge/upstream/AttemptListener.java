package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.ResponseHead;

/** Told what happens to a request that was sent to an endpoint. Nothing follows a cancellation. */
public interface AttemptListener {
    /** The head of the answer. */
    void onHead(ResponseHead head);

    /** A part of its body. */
    void onBody(byte[] bytes);

    /** The answer is whole. */
    void onComplete();

    /** There will be no whole answer. */
    void onFailed(AttemptFailure cause);
}
