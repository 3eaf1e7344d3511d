import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;

/** Stand-in of a client: sends one request on a connection of its own and waits for the answer. */
final class Caller {
    private static int next;

    static synchronized String newId() {
        return String.format("%08x%08x", (int) (System.nanoTime() >>> 8), ++next);
    }

    /** The answer to a request: status 0 if the connection ended without one. */
    record Answer(int status, String body, boolean complete) {}

    private Caller() {}

    static Answer send(Edge edge, String method, String host, String target, String key, String id, int deadlineMs, String extra, Record record) {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nDragonflygw-Attempt-Id: " + id
                + "\r\nDragonflygw-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n" + extra
                + (method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(edge.ip, edge.frontPort), 1_000);
            s.setSoTimeout(deadlineMs + 500);
            s.setTcpNoDelay(true);
            record.line("client sends %s to %s: %s %s, key %s", id, edge.name, method, target, key);
            Engine.write(s.getOutputStream(), head);
            Answer a = read(new BufferedInputStream(s.getInputStream()));
            record.line("client gets %d for %s: %s", a.status, id, a.body.length() > 90 ? a.body.substring(0, 90) : a.body);
            return a;
        } catch (IOException e) {
            record.line("client gets no answer for %s: %s", id, e.toString());
            return new Answer(0, "", false);
        }
    }

    static Answer read(InputStream in) throws IOException {
        String line = Engine.readLine(in);
        if (line == null) {
            return new Answer(0, "", false);
        }
        int status = Integer.parseInt(line.split(" ")[1]);
        int length = -1;
        boolean chunked = false;
        while ((line = Engine.readLine(in)) != null && !line.isEmpty()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).strip());
            }
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
        if (!chunked) {
            byte[] body = length < 0 ? in.readAllBytes() : in.readNBytes(length);
            return new Answer(status, new String(body), length < 0 || body.length == length);
        }
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = Engine.readLine(in);
            if (size == null) {
                return new Answer(status, body.toString(), false);
            }
            int n = Integer.parseInt(size.strip(), 16);
            byte[] chunk = in.readNBytes(n);
            body.append(new String(chunk));
            if (chunk.length < n) {
                return new Answer(status, body.toString(), false);
            }
            Engine.readLine(in);
            if (n == 0) {
                return new Answer(status, body.toString(), true);
            }
        }
    }
}
