package org.dragonflygw.edge;

import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.raw.RawEndpoint;

/**
 * Measures the CPU time that the event loop spends on each event of a stream. Run by hand. Prints one line: number of
 * events, CPU time of the event loop, and events and tokens per second of CPU time.
 */
public final class RelayMeasurement {
    private static final int STREAMS = 3_000;
    private static final int WARM_UP_STREAMS = 1_500;
    private static final int EVENTS = 80;
    private static final int TOKENS_PER_EVENT = 5;
    private static final double NANOS_PER_S = 1e9;

    private RelayMeasurement() {}

    /** Runs the measurement after a warm-up. */
    public static void main(String[] args) throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint((head, s, out) -> {
                    int at = head.indexOf("Attempt-Id: ");
                    String id = head.substring(at + 12, head.indexOf('\r', at));
                    RawEndpoint.write(
                            out,
                            "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + id
                                    + "\r\nDragonflygw-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int i = 1; i <= EVENTS; i++) {
                        String event = "id: " + i + "\ndata: " + "x".repeat(40) + "\n\n";
                        RawEndpoint.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                    }
                    RawEndpoint.write(out, "0\r\n\r\n");
                    return true;
                });
                EdgeFixture edge = new EdgeFixture(endpoint);
                Socket caller = edge.connect()) {
            run(caller, WARM_UP_STREAMS);
            long before = eventLoopCpuNanos();
            run(caller, STREAMS);
            double seconds = (eventLoopCpuNanos() - before) / NANOS_PER_S;
            long events = (long) STREAMS * EVENTS;
            System.out.printf(
                    "%d events, %.2f s of the event loop, %.0f events/s, %.0f tokens/s%n",
                    events, seconds, events / seconds, events * TOKENS_PER_EVENT / seconds);
        }
    }

    private static void run(Socket caller, int streams) throws IOException {
        for (int i = 0; i < streams; i++) {
            EdgeFixture.send(caller, EdgeFixture.request("/stream/x", "id" + i));
            readStream(caller.getInputStream());
        }
    }

    private static void readStream(InputStream in) throws IOException {
        byte[] buffer = new byte[65_536];
        String tail = "";
        while (!tail.endsWith("0\r\n\r\n")) {
            int n = in.read(buffer);
            String text = tail + new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
            tail = text.substring(Math.max(0, text.length() - 5));
        }
    }

    private static long eventLoopCpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long total = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith("multiThreadIoEventLoopGroup")) {
                total += threads.getThreadCpuTime(id);
            }
        }
        return total;
    }
}
