package org.dragonflygw.daemon.endpoint;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.io.ConnectionEndpoint;
import org.apache.hc.client5.http.io.HttpClientConnectionManager;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** An answer of an endpoint whose body is still to be read, with the connection that it comes on. For one thread. */
public final class EndpointExchange implements AutoCloseable {
    private static final InputStream NOTHING = InputStream.nullInputStream();

    private final HttpClientConnectionManager connections;
    private final ConnectionEndpoint connection;
    private final ClassicHttpResponse response;
    private final TimeValue keepAlive;
    private final InputStream body;
    private boolean wholeBodyRead;
    private boolean closed;

    EndpointExchange(
            HttpClientConnectionManager connections,
            ConnectionEndpoint connection,
            ClassicHttpResponse response,
            TimeValue keepAlive)
            throws IOException {
        this.connections = connections;
        this.connection = connection;
        this.response = response;
        this.keepAlive = keepAlive;
        HttpEntity entity = response.getEntity();
        this.body = entity == null ? NOTHING : entity.getContent();
    }

    /** HTTP status. */
    public int status() {
        return response.getCode();
    }

    /** Value of a header; empty when it is absent. */
    public String header(String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Sets how long the connection may stay silent from now on. */
    public void setSilenceLimit(long millis) {
        connection.setSocketTimeout(Timeout.ofMilliseconds(millis));
    }

    /**
     * Reads some bytes of the body.
     *
     * @return the number of bytes, or -1 at the end of the body
     */
    public int read(byte[] target) throws IOException {
        int count = body.read(target);
        wholeBodyRead = wholeBodyRead || count < 0;
        return count;
    }

    /**
     * Reads the whole body.
     *
     * @throws EndpointException when it is lost midway or longer than the bound
     */
    public byte[] readAll(String endpointId, int maxBytes) {
        try {
            byte[] content = body.readNBytes(maxBytes + 1);
            if (content.length > maxBytes) {
                throw new EndpointException(
                        EndpointCode.ANSWER_TOO_LARGE, endpointId + " sent more than " + maxBytes + " bytes");
            }
            wholeBodyRead = true;
            return content;
        } catch (IOException e) {
            throw EndpointClient.readFailure(endpointId, e);
        }
    }

    /** Gives the connection back when the whole body was read, and closes it otherwise. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        boolean reusable = wholeBodyRead && !header("Connection").equalsIgnoreCase("close");
        if (!reusable) {
            connection.close(CloseMode.IMMEDIATE);
        }
        connections.release(connection, null, reusable ? keepAlive : TimeValue.ZERO_MILLISECONDS);
    }
}
