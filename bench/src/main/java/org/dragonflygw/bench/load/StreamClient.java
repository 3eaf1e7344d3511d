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

/** Opens streams without a thread for each. Failed requests are not sent again. */
final class StreamClient implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int SILENCE_SECONDS = 30;

    /** Requests up to this size go out in one write; the client sets no TCP_NODELAY, so a second write would wait. */
    private static final int ONE_WRITE_BYTES = 16_384;

    private final CloseableHttpAsyncClient client;

    StreamClient() {
        client = HttpAsyncClients.custom()
                .setIOReactorConfig(
                        IOReactorConfig.custom().setIoThreadCount(IO_THREADS).build())
                .setHttp1Config(Http1Config.custom()
                        .setBufferSize(ONE_WRITE_BYTES)
                        .setChunkSizeHint(ONE_WRITE_BYTES)
                        .build())
                .setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(SILENCE_SECONDS, TimeUnit.SECONDS)
                        .build())
                .disableAutomaticRetries()
                .disableCookieManagement()
                .build();
        client.start();
    }

    /** Sends a request and measures its answer. */
    void open(StreamRequest request, LoadMetrics record, long plannedNanos) {
        AsyncRequestBuilder builder = AsyncRequestBuilder.post(request.url() + "/v1/chat/completions")
                .setEntity(request.body(), org.apache.hc.core5.http.ContentType.APPLICATION_JSON)
                .addHeader("X-Request-Id", request.requestId())
                .addHeader("X-Prefix-Fingerprint", request.prefixFingerprint())
                .addHeader("X-Chat-Id", request.chatId());
        if (!request.teamKey().isEmpty()) {
            builder.addHeader("Authorization", "Bearer " + request.teamKey());
        }
        AsyncRequestProducer producer = builder.build();
        record.started();
        StreamConsumer consumer = new StreamConsumer(record, plannedNanos, request.tokens());
        client.execute(producer, consumer, new EndCallback(record)).isDone();
    }

    @Override
    public void close() {
        client.close(CloseMode.GRACEFUL);
    }

    private static final class EndCallback implements FutureCallback<Boolean> {
        private final LoadMetrics record;

        EndCallback(LoadMetrics record) {
            this.record = record;
        }

        @Override
        public void completed(Boolean whole) {
            record.ended(whole);
        }

        @Override
        public void failed(Exception failure) {
            record.failed(failure);
        }

        @Override
        public void cancelled() {
            record.ended(false);
        }
    }
}
