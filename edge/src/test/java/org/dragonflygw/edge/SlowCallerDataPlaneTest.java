package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.DataPlaneTest.signatureHeaders;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.standins.raw.RawEndpoint.write;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/**
 * A caller that stops reading for longer than an endpoint may be silent. Guards against replacing an endpoint whose
 * response this host does not read, and against a cut of its sound stream.
 */
final class SlowCallerDataPlaneTest {
    private static final int EVENTS = 1_024;
    private static final String DATA = "x".repeat(8_192);
    private static final int RECEIVE_BUFFER_BYTES = 262_144;

    /** Longer than the silence after which the fixture's streams are replaced, shorter than their deadline. */
    private static final long PAUSE_MS = 1_250;

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static boolean writeStream(String head, OutputStream out) throws IOException {
        write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EVENTS; i++) {
            write(out, chunk("id: " + i + "\ndata: " + DATA + "\n\n"));
        }
        write(out, "0\r\n\r\n");
        return true;
    }

    /** Reads a stream to its end and returns the line that names its last event. */
    private static String lastEvent(Socket c) throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(c.getInputStream(), StandardCharsets.ISO_8859_1));
        String last = "";
        for (String line = lines.readLine(); line != null && !line.equals("0"); line = lines.readLine()) {
            last = line.startsWith("id: ") ? line : last;
        }
        return last;
    }

    @Test
    void getsTheWholeStreamOfItsFirstEndpoint() throws IOException, InterruptedException {
        try (RawEndpoint a = new RawEndpoint((head, s, out) -> writeStream(head, out));
                RawEndpoint b = new RawEndpoint((head, s, out) -> writeStream(head, out));
                EdgeFixture f = new EdgeFixture(a, b);
                Socket c = f.connect()) {
            c.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            EdgeFixture.send(c, request("/resume/x", "id1").replace("Deadline-Ms: 2500", "Deadline-Ms: 60000"));
            Thread.sleep(PAUSE_MS);
            assertThat(lastEvent(c)).isEqualTo("id: " + EVENTS);
            assertThat(a.heads().size() + b.heads().size()).isEqualTo(1);
        }
    }
}
