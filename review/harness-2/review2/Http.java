package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** First line and fields of a message. */
    static final class Head {
        String first = "";
        final List<String[]> fields = new ArrayList<>();

        String get(String name) {
            for (String[] f : fields) {
                if (f[0].equalsIgnoreCase(name)) {
                    return f[1];
                }
            }
            return null;
        }

        String get(String name, String otherwise) {
            String value = get(name);
            return value == null ? otherwise : value;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended within a line");
            }
            if (b == '\n') {
                String s = bytes.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            bytes.write(b);
        }
    }

    /** Reads a head; null if the stream ends before it. */
    static Head head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Head h = new Head();
        h.first = first;
        while (true) {
            String l = line(in);
            if (l == null) {
                throw new EOFException("connection ended within a head");
            }
            if (l.isEmpty()) {
                return h;
            }
            int colon = l.indexOf(':');
            if (colon < 0) {
                throw new IOException("line without a colon: " + l);
            }
            h.fields.add(new String[] {l.substring(0, colon), l.substring(colon + 1).strip()});
        }
    }

    /** Receives the parts of a body as they arrive. */
    interface Sink {
        void part(byte[] bytes, int length) throws IOException;
    }

    /** Reads a body with a length or in chunks; returns false if the head names neither. */
    static boolean body(Head h, InputStream in, Sink sink) throws IOException {
        String te = h.get("Transfer-Encoding");
        if (te != null && te.toLowerCase().contains("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("connection ended between chunks");
                }
                int n = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (n == 0) {
                    String l = line(in);
                    while (l != null && !l.isEmpty()) {
                        l = line(in);
                    }
                    if (l == null) {
                        throw new EOFException("connection ended within trailers");
                    }
                    return true;
                }
                fixed(in, n, sink);
                line(in);
            }
        }
        String length = h.get("Content-Length");
        if (length != null) {
            fixed(in, Long.parseLong(length), sink);
            return true;
        }
        return false;
    }

    private static void fixed(InputStream in, long n, Sink sink) throws IOException {
        byte[] buffer = new byte[65536];
        long left = n;
        while (left > 0) {
            int r = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (r < 0) {
                throw new EOFException("connection ended within a body, " + left + " bytes missing");
            }
            sink.part(buffer, r);
            left -= r;
        }
    }

    static byte[] ascii(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }
}
