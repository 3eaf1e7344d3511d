package org.dragonflygw.edge.memory;

import io.netty.handler.codec.TooLongFrameException;

/** A message was not read on because the memory for heads is used up and its connection holds the most of it. */
public final class HeaderBudgetException extends TooLongFrameException {
    private static final long serialVersionUID = 1;

    HeaderBudgetException(long maxBytes) {
        super("all heads together hold more than " + maxBytes + " bytes");
    }
}
