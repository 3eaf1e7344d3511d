package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/**
 * Guards against an endpoint that sends bytes that are no response, without end, until its connection is closed. Each
 * case must end long before the deadline, after a bounded number of bytes.
 */
final class EndlessResponseTest {
    /** Bytes that an endpoint may write before its connection is closed, those in buffers of the network included. */
    private static final long MAX_WRITTEN_BYTES = 16_000_000;

    private static final int BLOCK_BYTES = 8_192;

    private final AtomicLong written = new AtomicLong();

    private void assertEndsEarly(String start, String repeated) throws IOException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> writeWithoutEnd(out, head, start, repeated));
                EdgeFixture f = new EdgeFixture(e)) {
            assertThat(f.exchange(EdgeFixture.request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
            assertThat(written.get()).isLessThan(MAX_WRITTEN_BYTES);
        }
    }

    private boolean writeWithoutEnd(OutputStream out, String head, String start, String repeated) throws IOException {
        RawEndpoint.write(out, start.replace("SIGNED", DataPlaneTest.signatureHeaders(head)));
        byte[] block = repeated.repeat(1 + BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        while (written.get() < 4 * MAX_WRITTEN_BYTES) {
            out.write(block);
            written.addAndGet(block.length);
        }
        return false;
    }

    @Test
    void blankLinesBeforeTheHead() throws IOException {
        assertEndsEarly("", "\r\n");
    }

    @Test
    void oneLineAsTheHead() throws IOException {
        assertEndsEarly("", "x");
    }

    @Test
    void fieldsOfTheHead() throws IOException {
        assertEndsEarly("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
    }

    @Test
    void interimHeads() throws IOException {
        assertEndsEarly("", "HTTP/1.1 102 Processing\r\n\r\n");
    }

    @Test
    void responsesToOtherRequests() throws IOException {
        assertEndsEarly("", "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbody");
    }

    @Test
    void bodyOfTheResponseToAnotherRequest() throws IOException {
        assertEndsEarly("HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: other\r\n\r\n", "body");
    }

    @Test
    void bodyOfAnError() throws IOException {
        assertEndsEarly("HTTP/1.1 500 Error\r\nSIGNED\r\n", "body");
    }

    @Test
    void chunksOfAnError() throws IOException {
        assertEndsEarly("HTTP/1.1 500 Error\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n");
    }

    @Test
    void chunkSizeLine() throws IOException {
        assertEndsEarly("HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n", "0");
    }

    @Test
    void trailers() throws IOException {
        assertEndsEarly("HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n");
    }
}
