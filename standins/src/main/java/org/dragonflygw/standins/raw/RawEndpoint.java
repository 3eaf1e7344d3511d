package org.dragonflygw.standins.raw;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** An endpoint whose responses are arbitrary bytes that a script writes to the connection. */
public final class RawEndpoint implements AutoCloseable {
    /** Writes the response to one request. */
    public interface Script {
        /** Writes the response; returns false to close the connection afterwards. */
        boolean answer(String requestHead, Socket connection, OutputStream out) throws IOException;
    }

    private static final int BACKLOG = 64;

    private final ServerSocket server;
    private final Script script;
    private final boolean readsBodies;
    private final List<String> heads = Collections.synchronizedList(new ArrayList<>());

    /** Starts an endpoint whose script runs once a whole request was read. */
    public RawEndpoint(Script script) {
        this(script, true);
    }

    private RawEndpoint(Script script, boolean readsBodies) {
        this.script = script;
        this.readsBodies = readsBodies;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    /** Returns an endpoint whose script runs once the head of a request was read; the script reads the body, or not. */
    public static RawEndpoint answeringEarly(Script script) {
        return new RawEndpoint(script, false);
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "raw-endpoint");
        t.setDaemon(true);
        t.start();
    }

    /** Returns the port on the loopback address. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns the heads of the requests received so far. */
    public List<String> heads() {
        return List.copyOf(heads);
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                start(() -> serve(s));
            }
        } catch (IOException e) {
            // The test has closed the endpoint.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            OutputStream out = connection.getOutputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                heads.add(head);
                if (readsBodies) {
                    in.readNBytes(contentLength(head));
                }
                boolean keep = script.answer(head, connection, out);
                out.flush();
                if (!keep) {
                    return;
                }
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int b = in.read();
        while (b >= 0) {
            head.append((char) b);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
            b = in.read();
        }
        return "";
    }

    /** Returns the length of a request's body in bytes. */
    public static int contentLength(String head) {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return 0;
    }

    /** Writes text, one byte a character, and flushes it. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
