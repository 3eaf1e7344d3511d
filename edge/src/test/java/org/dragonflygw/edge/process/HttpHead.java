package org.dragonflygw.edge.process;

import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP message: the first line, and the header fields by their names in lower case. */
public record HttpHead(String firstLine, Map<String, String> fields) {
    /** Reads a head; returns null at the end of the stream. */
    public static HttpHead read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new HttpHead(first, fields);
    }

    /** Reads a line without its end; returns null at the end of the stream. */
    public static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int b = in.read();
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.append((char) b);
            }
            b = in.read();
        }
        return b < 0 ? null : line.toString();
    }

    /** Returns the value of a field, by its name in lower case; empty if there is none. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns the target of a request. */
    public String target() {
        return firstLine.split(" ", -1)[1];
    }

    /** Returns the status of a response. */
    public int status() {
        return Integer.parseInt(firstLine.split(" ", -1)[1]);
    }

    /** Returns the declared length of the body in bytes; 0 if there is none. */
    public int contentLength() {
        return Integer.parseInt(fields.getOrDefault("content-length", "0"));
    }
}
