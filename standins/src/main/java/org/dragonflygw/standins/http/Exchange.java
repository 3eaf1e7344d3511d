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

/** An HTTP request and its response. Only the first response is sent; later ones are ignored. */
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

    /** Returns the method of the request in upper case. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the decoded path of the request. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns a copy of the request body. */
    public byte[] body() {
        return body.clone();
    }

    /** Parses the request body as JSON; throws {@link StandinException} when it does not match the type. */
    public <T> T body(Class<T> type) {
        return Json.read(body, type);
    }

    /** Returns the first value of a request header, or an empty string when the header is absent. */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /** Returns the number in a query parameter, or the fallback when the parameter is absent. */
    public long queryNumber(String name, long fallback) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        if (value == null) {
            return fallback;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new StandinException(StandinCode.BAD_REQUEST, "query parameter " + name + " is not a number", e);
        }
    }

    /** Returns the connection of the request; all requests of one connection return the same object. */
    public Object connection() {
        return jettyConnection();
    }

    /** Sends a JSON response. */
    public void json(int status, Object value) {
        bytes(status, "application/json", Json.write(value));
    }

    /** Sends a response without a body. */
    public void status(int status) {
        if (answered.compareAndSet(false, true)) {
            response.setStatus(status);
            callback.succeeded();
        }
    }

    /** Sends an error response: a JSON object whose field {@code error} holds the code. */
    public void error(int status, String code) {
        json(status, new ErrorBody(code));
    }

    /** Sends a response with the given bytes as its body. */
    public void bytes(int status, String contentType, byte[] content) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    /** Starts a response of server-sent events; throws {@link StandinException} when a response was sent before. */
    public EventStream stream() {
        if (!answered.compareAndSet(false, true)) {
            throw new StandinException(StandinCode.BAD_REQUEST, "response was already sent");
        }
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-cache");
        return new EventStream(response, callback);
    }

    /** Closes the connection without a response. */
    public void drop() {
        if (answered.compareAndSet(false, true)) {
            jettyConnection().getEndPoint().close();
            callback.failed(new DroppedException());
        }
    }

    /** Returns the request body as UTF-8 text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private Connection jettyConnection() {
        return request.getConnectionMetaData().getConnection();
    }

    private record ErrorBody(String error) {}

    /** Fails an exchange whose connection was closed by {@link #drop}. */
    private static final class DroppedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        DroppedException() {
            super("connection dropped", null, false, false);
        }
    }
}
