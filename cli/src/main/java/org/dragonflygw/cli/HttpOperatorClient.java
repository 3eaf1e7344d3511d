package org.dragonflygw.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/** Calls daemons through Apache HttpClient. Automatic retries are off: each call is sent once. Thread-safe. */
public final class HttpOperatorClient implements OperatorClient, AutoCloseable {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(2);
    private static final Timeout RESPONSE_TIMEOUT = Timeout.ofSeconds(20);

    private final CloseableHttpClient http;

    public HttpOperatorClient() {
        ConnectionConfig connections =
                ConnectionConfig.custom().setConnectTimeout(CONNECT_TIMEOUT).build();
        http = HttpClients.custom()
                .disableAutomaticRetries()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(connections)
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(RESPONSE_TIMEOUT)
                        .build())
                .build();
    }

    @Override
    public OperatorReply get(DaemonAddress daemon, String pathAndQuery) {
        return send(daemon, new HttpGet(daemon.resolve(pathAndQuery)));
    }

    @Override
    public OperatorReply post(DaemonAddress daemon, String pathAndQuery, byte[] content) {
        HttpPost post = new HttpPost(daemon.resolve(pathAndQuery));
        post.setEntity(new ByteArrayEntity(content, ContentType.create("text/csv", StandardCharsets.UTF_8)));
        return send(daemon, post);
    }

    private OperatorReply send(DaemonAddress daemon, HttpUriRequestBase request) {
        try {
            return http.execute(request, HttpOperatorClient::read);
        } catch (IOException e) {
            throw new CliException(ExitCode.UNREACHABLE, daemon + " did not answer: " + e.getMessage(), e);
        }
    }

    private static OperatorReply read(ClassicHttpResponse response) throws IOException {
        try {
            String body = response.getEntity() == null
                    ? ""
                    : EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
            return new OperatorReply(response.getCode(), body);
        } catch (ParseException e) {
            throw new IOException("malformed content type of the answer", e);
        }
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot close the HTTP client", e);
        }
    }
}
