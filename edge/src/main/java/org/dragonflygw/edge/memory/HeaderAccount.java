package org.dragonflygw.edge.memory;

import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/** What one connection holds of a {@link HeaderBudget}. Used by the event loop only. */
public final class HeaderAccount {
    private final HeaderBudget budget;
    private final String kind;
    private final Runnable closeAction;
    private final Set<AccountedHeaders> headers = Collections.newSetFromMap(new IdentityHashMap<>());
    private Runnable expelListener = () -> {};
    private long bytes;
    private long bufferedBytes;
    private boolean closed;

    HeaderAccount(HeaderBudget budget, String kind, Runnable closeAction) {
        this.budget = budget;
        this.kind = kind;
        this.closeAction = closeAction;
    }

    /** Returns the configuration of a decoder whose heads and trailers count for this account. */
    public HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setHeadersFactory(new AccountedHeadersFactory(this, false))
                .setTrailersFactory(new AccountedHeadersFactory(this, true));
    }

    /**
     * Sets what is called when the connection is closed because the budget is used up. It should let go of what the connection
     * holds: the end of the connection itself is only seen after all others were read.
     */
    public void onExpelled(Runnable listener) {
        expelListener = listener;
    }

    void add(AccountedHeaders h) {
        headers.add(h);
    }

    void remove(AccountedHeaders h) {
        headers.remove(h);
    }

    /** Returns the estimated bytes that the connection holds. */
    long bytes() {
        return bytes;
    }

    String kind() {
        return kind;
    }

    /** Adds bytes; the connection may be closed for them. */
    public void charge(long more) {
        charge(more, null);
    }

    private void charge(long more, HeaderAccount decoding) {
        if (closed) {
            return;
        }
        bytes += more;
        budget.add(more);
        budget.makeRoom(decoding);
    }

    /** Adds bytes of a message that is being decoded; throws {@link HeaderBudgetException} if it cannot be read on. */
    void chargeDecoded(long more) {
        charge(more, this);
        if (closed) {
            throw new HeaderBudgetException(budget.maxBytes());
        }
    }

    /** Takes bytes back. */
    public void release(long fewer) {
        if (!closed) {
            bytes -= fewer;
            budget.add(-fewer);
        }
    }

    /** Takes back what was charged for all messages so far, because none of them is used any more. */
    public void releaseMessages() {
        headers.clear();
        release(bytes - bufferedBytes);
    }

    /** Sets the number of received bytes that are not decoded yet. */
    public void buffered(long now) {
        long more = now - bufferedBytes;
        bufferedBytes = now;
        if (more > 0) {
            charge(more);
        } else {
            release(-more);
        }
    }

    /** Closes the connection because the budget is used up. */
    void expel() {
        close();
        List.copyOf(headers).forEach(AccountedHeaders::clear);
        headers.clear();
        expelListener.run();
        closeAction.run();
    }

    /** Takes everything back; later bytes are not counted. */
    void close() {
        if (closed) {
            return;
        }
        release(bytes);
        closed = true;
        budget.onClosed(this);
    }
}
