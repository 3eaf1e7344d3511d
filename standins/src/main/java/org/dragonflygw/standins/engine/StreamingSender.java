package org.dragonflygw.standins.engine;

import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.http.EventStream;

/**
 * Sends a stream as server-sent events, from a given token on. All tokens that are available when the previous write
 * ends go out in one write. The lock of this class must not be acquired while another lock is held.
 */
final class StreamingSender implements ResponseSender {
    private static final int BYTES_PER_CHUNK = 200;

    private final EngineStream stream;
    private final EventStream out;
    private final ConnectionState connection;
    private final FaultInjector faults;
    private final CrossedChunks crossed;
    private final ChunkFormat format;
    private final int silenceAt;
    private int cursor;
    private boolean writing;
    private boolean doneSent;
    private boolean closed;

    /**
     * Creates a sender; the caller attaches it to the stream.
     *
     * @param from index of the first token to send
     * @param silenceAt index of the token before which the connection goes silent
     */
    StreamingSender(
            EngineStream stream,
            EventStream out,
            ConnectionState connection,
            FaultInjector faults,
            CrossedChunks crossed,
            int from,
            int silenceAt) {
        this.stream = stream;
        this.out = out;
        this.connection = connection;
        this.faults = faults;
        this.crossed = crossed;
        this.format = new ChunkFormat(stream);
        this.cursor = from;
        this.silenceAt = silenceAt;
    }

    @Override
    public void onProgress() {
        byte[] bytes = nextBytes();
        if (bytes.length > 0) {
            out.write(bytes, this::onWritten);
        }
    }

    private void onWritten(boolean success) {
        if (!success) {
            onConnectionLost();
            return;
        }
        boolean ended;
        synchronized (this) {
            writing = false;
            ended = doneSent && !closed;
            closed |= ended;
        }
        if (ended) {
            out.end();
            return;
        }
        onProgress();
    }

    private void onConnectionLost() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        stream.detach(this);
        out.abort();
    }

    private synchronized byte[] nextBytes() {
        if (writing || closed || doneSent || connection.silent()) {
            return new byte[0];
        }
        if (stream.cancelled() || !stream.sendsTo(this)) {
            closed = true;
            out.end();
            return new byte[0];
        }
        String text = compose();
        writing = !text.isEmpty();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private String compose() {
        int available = stream.emitted();
        StringBuilder text = new StringBuilder(Math.max(1, available - cursor) * BYTES_PER_CHUNK);
        while (cursor < available) {
            if (cursor >= silenceAt) {
                connection.silence();
                return text.toString();
            }
            appendChunk(text);
            cursor++;
        }
        if (stream.finished()) {
            text.append(ChunkFormat.DONE);
            doneSent = true;
        }
        return text.toString();
    }

    private void appendChunk(StringBuilder text) {
        switch (faults.nextChunk()) {
            case NONE -> format.append(text, cursor);
            case CROSSED -> crossed.append(text, stream, cursor);
            case DUPLICATED -> {
                format.append(text, cursor);
                format.append(text, cursor);
            }
        }
    }
}
