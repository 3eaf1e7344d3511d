package org.dragonflygw.standins.http;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/** Jetty handler that reads each body without blocking, then passes the exchange to an {@link ExchangeHandler}. */
final class JettyAdapter extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final ExchangeHandler handler;

    JettyAdapter(ExchangeHandler handler) {
        this.handler = handler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES, new Promise.Invocable.NonBlocking<>() {
            @Override
            public void succeeded(byte[] body) {
                dispatch(new Exchange(request, response, callback, body));
            }

            @Override
            public void failed(Throwable failure) {
                Response.writeError(request, response, callback, 400, "body", failure);
            }
        });
        return true;
    }

    private void dispatch(Exchange exchange) {
        try {
            handler.handle(exchange);
        } catch (StandinException e) {
            exchange.error(400, e.getMessage());
        }
    }
}
