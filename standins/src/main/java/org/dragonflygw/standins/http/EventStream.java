package org.dragonflygw.standins.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The sending half of a stream of server-sent events. One write at a time; each is flushed. */
public final class EventStream {
    private final Response response;
    private final Callback callback;

    EventStream(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Sends bytes and calls back with whether they went out. */
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

    /** Ends the stream after the last write. */
    public void end() {
        response.write(true, null, callback);
    }

    /** Gives the stream up after a failed write. */
    public void abort() {
        callback.failed(new IllegalStateException("peer is gone"));
    }

    /** Told of the end of each write. */
    public interface WriteListener {
        /** The write ended; false when the connection is lost. */
        void onWritten(boolean success);
    }
}
