package org.dragonflygw.bench.load;

import java.nio.ByteBuffer;
import org.apache.hc.client5.http.async.methods.AbstractBinResponseConsumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;

/** Records the token times of one streamed response. The result is whether the response was complete. */
final class StreamConsumer extends AbstractBinResponseConsumer<Boolean> {
    private static final int HTTP_OK = 200;

    private final LoadMetrics metrics;
    private final long plannedNanos;
    private final int expectedTokens;
    private final EventScanner scanner = new EventScanner();
    private int tokens;
    private int status;
    private long lastNanos;

    /**
     * Creates a consumer for one response.
     *
     * @param metrics receives the measurements
     * @param plannedNanos planned send time ({@link System#nanoTime}); the time to first token is measured from it
     * @param expectedTokens tokens of a complete response
     */
    StreamConsumer(LoadMetrics metrics, long plannedNanos, int expectedTokens) {
        this.metrics = metrics;
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
        metrics.tokens(arrived);
    }

    @Override
    protected Boolean buildResult() {
        return status == HTTP_OK && tokens == expectedTokens && scanner.done();
    }

    @Override
    public void releaseResources() {}

    private void recordToken(long now) {
        if (tokens == 0) {
            metrics.firstToken(now - plannedNanos);
        } else {
            metrics.tokenGap(now - lastNanos);
        }
        tokens++;
        lastNanos = now;
    }
}
