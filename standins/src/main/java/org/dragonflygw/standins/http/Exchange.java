package org.dragonflygw.standins.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request and its answer. Only the first answer counts. */
public final class Exchange {
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final AtomicBoolean answered = new AtomicBoolean();

    Exchange(Request request, Response response, Callback callback, byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    /** Method of the request in upper case. */
    public String method() {
        return request.getMethod();
    }

    /** Decoded path of the request. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Body of the request. */
    public byte[] body() {
        return body.clone();
    }

    /** Body of the request read as JSON. */
    public <T> T body(Class<T> type) {
        return Json.read(body, type);
    }

    /** First value of a header; empty when absent. */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /** Number in a query parameter; the fallback when it is absent. */
    public long queryNumber(String name, long fallback) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        if (value == null) {
            return fallback;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new StandinException(StandinCode.BAD_REQUEST, name + " is no number", e);
        }
    }

    /** The connection that the request came on; the same object for all requests of one connection. */
    public Object connection() {
        return jettyConnection();
    }

    /** Answers with JSON. */
    public void json(int status, Object value) {
        bytes(status, "application/json", Json.write(value));
    }

    /** Answers with a status alone. */
    public void status(int status) {
        if (answered.compareAndSet(false, true)) {
            response.setStatus(status);
            callback.succeeded();
        }
    }

    /** Answers with an error text in JSON. */
    public void error(int status, String code) {
        json(status, new ErrorBody(code));
    }

    /** Answers with bytes. */
    public void bytes(int status, String contentType, byte[] content) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    /** Begins a stream of server-sent events. */
    public EventStream stream() {
        if (!answered.compareAndSet(false, true)) {
            throw new StandinException(StandinCode.BAD_REQUEST, "answered already");
        }
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-cache");
        return new EventStream(response, callback);
    }

    /** Drops the connection without an answer. */
    public void drop() {
        if (answered.compareAndSet(false, true)) {
            jettyConnection().getEndPoint().close();
            callback.failed(new DroppedException());
        }
    }

    /** Text of a body for logs and records. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private Connection jettyConnection() {
        return request.getConnectionMetaData().getConnection();
    }

    private record ErrorBody(String error) {}

    /** Marks an exchange whose connection was dropped on purpose. */
    private static final class DroppedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        DroppedException() {
            super("connection dropped", null, false, false);
        }
    }
}
