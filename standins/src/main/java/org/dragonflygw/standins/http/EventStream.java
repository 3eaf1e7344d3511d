package org.dragonflygw.standins.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Response stream of server-sent events. Each write is flushed; only one write may be pending. */
public final class EventStream {
    private final Response response;
    private final Callback callback;

    EventStream(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Writes bytes asynchronously and reports to the listener whether the write succeeded. */
    public void write(byte[] bytes, WriteListener listener) {
        response.write(false, ByteBuffer.wrap(bytes), new Callback() {
            @Override
            public void succeeded() {
                listener.onWritten(true);
            }

            @Override
            public void failed(Throwable failure) {
                listener.onWritten(false);
            }
        });
    }

    /** Ends the stream; call it after the last write has ended. */
    public void end() {
        response.write(true, null, callback);
    }

    /** Aborts the stream after a failed write. */
    public void abort() {
        callback.failed(new IllegalStateException("client closed the connection"));
    }

    /** Receives the result of each write. */
    public interface WriteListener {
        /** Called when a write ends; {@code success} is false when the connection is lost. */
        void onWritten(boolean success);
    }
}
