package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of a client's connection: one request at a time, and all that came back. */
final class Client implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final Pattern ID = Pattern.compile("Dragonflygw-Attempt-Id: (\\S+)");
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    /** What came back for one request. */
    static final class Answer {
        String id = "";
        int status;
        Http.Head head;
        byte[] body = {};
        boolean complete;
        String end = "";
        long sentNanos;
        long endNanos;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        long ms() {
            return (endNanos - sentNanos) / 1_000_000;
        }

        @Override
        public String toString() {
            return "status=" + status + " complete=" + complete + " bytes=" + body.length + " ms=" + ms() + " end=" + end;
        }
    }

    Client(Edge e) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(e.ip, e.front), 1000);
        socket.setSoTimeout(30_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static String fields(String id, long deadlineMs) {
        return "Host: ficu95.example\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: " + deadlineMs
                + "\r\nAuthorization: Bearer " + KEY + "\r\n";
    }

    /** Fields of a prompt of which the last part is its own. */
    static String promptFields(String id, int shared) {
        return "Dragonflygw-Model: m\r\nDragonflygw-Token-Usage: 830,300\r\nDragonflygw-Prefix-Hash: 5c1e07a2:119,"
                + String.format("%08x", 0x91bd0000 + shared) + ":581," + id.substring(0, 8) + ":130\r\n";
    }

    Answer call(String method, String target, String fields, byte[] body) {
        Answer a = new Answer();
        send(a, method, target, fields, body);
        return a.end.isEmpty() ? receive(a) : a;
    }

    void send(Answer a, String method, String target, String fields, byte[] body) {
        try {
            a.sentNanos = System.nanoTime();
            Matcher id = ID.matcher(fields);
            a.id = id.find() ? id.group(1) : "";
            Case.current.detail("sent: " + a.id + " " + method + " " + target + ", body " + (body == null ? 0 : body.length) + " bytes");
            String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
            out.write(Http.ascii(method + " " + target + " HTTP/1.1\r\n" + fields + length + "\r\n"));
            if (body != null) {
                out.write(body);
            }
            out.flush();
        } catch (IOException e) {
            a.endNanos = System.nanoTime();
            a.end = "sending failed: " + e.getMessage();
        }
    }

    Answer receive(Answer a) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            a.head = Http.head(in);
            if (a.head == null) {
                a.end = "closed without an answer";
            } else {
                a.status = a.head.status();
                if (!Http.body(a.head, in, (b, n) -> bytes.write(b, 0, n))) {
                    in.transferTo(bytes);
                }
                a.complete = true;
                a.end = "whole answer";
            }
        } catch (IOException e) {
            a.end = "broken off: " + e.getMessage();
        }
        a.body = bytes.toByteArray();
        a.endNanos = System.nanoTime();
        Case.current.detail("answered: " + a.id + " " + a);
        return a;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }
}
