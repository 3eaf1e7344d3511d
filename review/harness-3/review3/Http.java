package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The head and, if wanted, the body of an HTTP/1.1 message that was read from a connection. */
final class Http {
    final String first;
    final Map<String, String> fields = new LinkedHashMap<>();
    byte[] body = {};

    private Http(String first) {
        this.first = first;
    }

    String field(String name) {
        return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    /** Reads a head; returns null if the connection ends before it begins. */
    static Http readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Http head = new Http(line);
        while (true) {
            line = readLine(in);
            if (line == null) {
                throw new IOException("connection ended in a head");
            }
            if (line.isEmpty()) {
                return head;
            }
            int colon = line.indexOf(':');
            head.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Reads a request with its body; returns null if the connection ends before it begins. */
    static Http readRequest(InputStream in) throws IOException {
        Http request = readHead(in);
        if (request == null) {
            return null;
        }
        if (request.field("transfer-encoding").contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)).length > 0) {
                body.write(chunk);
            }
            request.body = body.toByteArray();
        } else if (!request.field("content-length").isEmpty()) {
            request.body = readExactly(in, Integer.parseInt(request.field("content-length")));
        }
        return request;
    }

    /** Reads one chunk; an empty one is the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new IOException("connection ended in a body");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return chunk;
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("connection ended in a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new IOException("connection ended in a line");
        }
        return null;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
