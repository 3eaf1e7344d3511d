package org.dragonflygw.bench.load;

import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;

/** Asynchronous HTTP client that opens many streams on a few I/O threads. Failed requests are not retried. */
final class StreamClient implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int RESPONSE_TIMEOUT_SECONDS = 30;

    /**
     * Requests up to this size are sent in one write. The client does not set TCP_NODELAY, so a second write would be
     * delayed.
     */
    private static final int WRITE_BUFFER_BYTES = 16_384;

    private final CloseableHttpAsyncClient client;

    StreamClient() {
        client = HttpAsyncClients.custom()
                .setIOReactorConfig(
                        IOReactorConfig.custom().setIoThreadCount(IO_THREADS).build())
                .setHttp1Config(Http1Config.custom()
                        .setBufferSize(WRITE_BUFFER_BYTES)
                        .setChunkSizeHint(WRITE_BUFFER_BYTES)
                        .build())
                .setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .build())
                .disableAutomaticRetries()
                .disableCookieManagement()
                .build();
        client.start();
    }

    /**
     * Sends a request and records its response. Returns at once.
     *
     * @param plannedNanos planned send time ({@link System#nanoTime}); the time to first token is measured from it
     */
    void open(StreamRequest request, LoadMetrics metrics, long plannedNanos) {
        AsyncRequestBuilder builder = AsyncRequestBuilder.post(request.url() + "/v1/chat/completions")
                .setEntity(request.body(), org.apache.hc.core5.http.ContentType.APPLICATION_JSON)
                .addHeader("X-Request-Id", request.requestId())
                .addHeader("X-Prefix-Fingerprint", request.prefixFingerprint())
                .addHeader("X-Chat-Id", request.chatId());
        if (!request.teamKey().isEmpty()) {
            builder.addHeader("Authorization", "Bearer " + request.teamKey());
        }
        AsyncRequestProducer producer = builder.build();
        metrics.started();
        StreamConsumer consumer = new StreamConsumer(metrics, plannedNanos, request.tokens());
        client.execute(producer, consumer, new CompletionCallback(metrics)).isDone();
    }

    @Override
    public void close() {
        client.close(CloseMode.GRACEFUL);
    }

    private static final class CompletionCallback implements FutureCallback<Boolean> {
        private final LoadMetrics metrics;

        CompletionCallback(LoadMetrics metrics) {
            this.metrics = metrics;
        }

        @Override
        public void completed(Boolean complete) {
            metrics.ended(complete);
        }

        @Override
        public void failed(Exception cause) {
            metrics.failed(cause);
        }

        @Override
        public void cancelled() {
            metrics.ended(false);
        }
    }
}
