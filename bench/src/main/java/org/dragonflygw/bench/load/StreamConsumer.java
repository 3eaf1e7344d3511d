package org.dragonflygw.bench.load;

import java.nio.ByteBuffer;
import org.apache.hc.client5.http.async.methods.AbstractBinResponseConsumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;

/** Measures one stream as its bytes arrive. */
final class StreamConsumer extends AbstractBinResponseConsumer<Boolean> {
    private static final int OK = 200;

    private final LoadMetrics record;
    private final long plannedNanos;
    private final int expectedTokens;
    private final EventScanner scanner = new EventScanner();
    private int tokens;
    private int status;
    private long lastNanos;

    /**
     * Makes a consumer.
     *
     * @param record gets the measurements
     * @param plannedNanos time at which the request was to be sent
     * @param expectedTokens tokens of a whole answer
     */
    StreamConsumer(LoadMetrics record, long plannedNanos, int expectedTokens) {
        this.record = record;
        this.plannedNanos = plannedNanos;
        this.expectedTokens = expectedTokens;
    }

    @Override
    protected void start(HttpResponse response, ContentType contentType) {
        status = response.getCode();
    }

    @Override
    protected int capacityIncrement() {
        return Integer.MAX_VALUE;
    }

    @Override
    protected void data(ByteBuffer bytes, boolean endOfStream) {
        int arrived = scanner.scan(bytes);
        if (arrived == 0) {
            return;
        }
        long now = System.nanoTime();
        for (int i = 0; i < arrived; i++) {
            recordToken(now);
        }
        record.tokens(arrived);
    }

    @Override
    protected Boolean buildResult() {
        return status == OK && tokens == expectedTokens && scanner.done();
    }

    @Override
    public void releaseResources() {}

    private void recordToken(long now) {
        if (tokens == 0) {
            record.firstToken(now - plannedNanos);
        } else {
            record.tokenGap(now - lastNanos);
        }
        tokens++;
        lastNanos = now;
    }
}
