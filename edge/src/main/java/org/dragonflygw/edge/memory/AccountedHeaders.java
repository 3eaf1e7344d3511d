package org.dragonflygw.edge.memory;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** Headers that are decoded; each line counts for an account with what it costs in the heap. */
public final class AccountedHeaders extends DefaultHttpHeaders {
    /** Estimated bytes of a line besides its characters: the decoded entry, and the copy that is kept for sending. */
    static final long LINE_BYTES = 300;

    private final HeaderAccount account;
    private long charged;

    AccountedHeaders(HeaderAccount account, boolean trailers) {
        super(factory(trailers).getNameValidator(), factory(trailers).getValueValidator());
        this.account = account;
        account.add(this);
    }

    private static DefaultHttpHeadersFactory factory(boolean trailers) {
        return trailers ? DefaultHttpHeadersFactory.trailersFactory() : DefaultHttpHeadersFactory.headersFactory();
    }

    /**
     * Forgets headers that are not used any more and returns what was charged for them, in bytes; 0 if they count for no
     * account. The caller releases the charge once what it has copied of them is not used any more either.
     */
    public static long forget(HttpHeaders headers) {
        if (!(headers instanceof AccountedHeaders accounted)) {
            return 0;
        }
        accounted.account.remove(accounted);
        return accounted.charged;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        charge(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        charge(name, value);
        return super.add(name, value);
    }

    private void charge(CharSequence name, Object value) {
        long valueBytes = value instanceof CharSequence characters ? characters.length() : 0;
        long bytes = LINE_BYTES + name.length() + valueBytes;
        charged += bytes;
        account.chargeDecoded(bytes);
    }
}
