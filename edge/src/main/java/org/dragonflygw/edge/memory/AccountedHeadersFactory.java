package org.dragonflygw.edge.memory;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Creates headers that count for an account. */
final class AccountedHeadersFactory implements HttpHeadersFactory {
    private final HeaderAccount account;
    private final boolean trailers;

    AccountedHeadersFactory(HeaderAccount account, boolean trailers) {
        this.account = account;
        this.trailers = trailers;
    }

    @Override
    public HttpHeaders newHeaders() {
        return new AccountedHeaders(account, trailers);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }
}
