package org.dragonflygw.standins.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;

/** HTTP client of the stand-ins' tests. Each call uses a new connection and is never retried. */
public final class TestHttp {
    private static final int TIMEOUT_SECONDS = 20;

    private TestHttp() {}

    /** Sends a request with a JSON body, empty for none. Headers alternate names and values. */
    public static Reply call(String method, String url, String body, String... headers) {
        return call(TIMEOUT_SECONDS * 1000, method, url, body, headers);
    }

    /** Sends a request with a limit on the time between two bytes of the response. */
    public static Reply call(int timeoutMillis, String method, String url, String body, String... headers) {
        HttpUriRequestBase request = new HttpUriRequestBase(method, java.net.URI.create(url));
        if (!body.isEmpty()) {
            request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
        }
        for (int i = 0; i < headers.length; i += 2) {
            request.addHeader(headers[i], headers[i + 1]);
        }
        RequestConfig config = RequestConfig.custom()
                .setResponseTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .build();
        try (CloseableHttpClient client = HttpClients.custom()
                .disableAutomaticRetries()
                .setDefaultRequestConfig(config)
                .build()) {
            return client.execute(request, response -> {
                String text = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
                return new Reply(response.getCode(), text);
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads lines of a stream until the stream ends, the timeout expires or the given number of lines is read. */
    public static List<String> lines(int timeoutMillis, int maxLines, String url, String body, String... headers) {
        List<String> lines = new ArrayList<>();
        HttpUriRequestBase request = new HttpUriRequestBase(body.isEmpty() ? "GET" : "POST", java.net.URI.create(url));
        if (!body.isEmpty()) {
            request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
        }
        for (int i = 0; i < headers.length; i += 2) {
            request.addHeader(headers[i], headers[i + 1]);
        }
        request.setConfig(RequestConfig.custom()
                .setResponseTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .build());
        try (CloseableHttpClient client =
                HttpClients.custom().disableAutomaticRetries().build()) {
            client.execute(request, response -> {
                BufferedReader reader = new BufferedReader(
                        new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
                String line = reader.readLine();
                while (line != null && lines.size() < maxLines) {
                    lines.add(line);
                    line = reader.readLine();
                }
                request.abort();
                return lines;
            });
        } catch (IOException e) {
            return lines;
        }
        return lines;
    }

    /** Status and body text of a response. */
    public record Reply(int status, String text) {}
}
