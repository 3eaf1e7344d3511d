package org.dragonflygw.daemon.endpoint;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.io.ConnectionEndpoint;
import org.apache.hc.client5.http.io.HttpClientConnectionManager;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.FormattedHeader;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.dragonflygw.platform.http.StrictLineParser;

/** A response of an endpoint whose body has not been read yet, with its connection. Not thread-safe. */
public final class EndpointExchange implements AutoCloseable {
    private static final InputStream EMPTY_BODY = InputStream.nullInputStream();

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
        this.body = entity == null ? EMPTY_BODY : entity.getContent();
    }

    /** HTTP status of the response. */
    public int status() {
        return response.getCode();
    }

    /** Value of a header; empty when it is absent. */
    public String header(String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Sets how long the connection may stay silent from now on, in milliseconds. */
    public void setSilenceLimit(long millis) {
        connection.setSocketTimeout(Timeout.ofMilliseconds(millis));
    }

    /**
     * Reads the next bytes of the body into the start of the target.
     *
     * @return the number of bytes, or -1 at the end of the body
     */
    public int read(byte[] target) throws IOException {
        int count = body.read(target);
        if (count < 0) {
            checkTrailers();
            wholeBodyRead = true;
        }
        return count;
    }

    /**
     * Reads the whole body.
     *
     * @throws EndpointException when the connection is lost or silent, or the body is longer than the maximum
     */
    public byte[] readAll(String endpointId, int maxBytes) {
        try {
            byte[] content = body.readNBytes(maxBytes + 1);
            if (content.length > maxBytes) {
                throw new EndpointException(
                        EndpointCode.ANSWER_TOO_LARGE, endpointId + " sent more than " + maxBytes + " bytes");
            }
            checkTrailers();
            wholeBodyRead = true;
            return content;
        } catch (IOException e) {
            throw EndpointClient.readFailure(endpointId, e);
        }
    }

    /** The library reads trailers with a parser of its own. */
    private void checkTrailers() throws MalformedChunkCodingException {
        if (!(body instanceof ChunkedInputStream chunks)) {
            return;
        }
        for (Header trailer : chunks.getFooters()) {
            try {
                StrictLineParser.check(((FormattedHeader) trailer).getBuffer());
            } catch (ParseException e) {
                throw new MalformedChunkCodingException("invalid trailer: " + e.getMessage());
            }
        }
    }

    /** Returns the connection to the pool when the whole body was read; closes it otherwise. */
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
