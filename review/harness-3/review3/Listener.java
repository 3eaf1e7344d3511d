package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address; it can crash, which resets all of them, and listen again. */
abstract class Listener {
    final String ip;
    private int port;
    private volatile ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Listener(String ip) {
        this.ip = ip;
    }

    int port() {
        return port;
    }

    String address() {
        return ip + ":" + port;
    }

    /** Serves one connection until it ends. */
    abstract void serve(Socket connection, InputStream in) throws IOException, InterruptedException;

    /** Listens on a free port, or again on the one that it had. */
    void listen() throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        bind(s);
        port = s.getLocalPort();
        server = s;
        Run.thread(() -> accept(s));
    }

    private void bind(ServerSocket s) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                s.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
                return;
            } catch (BindException e) {
                if (tries == 20) {
                    throw e;
                }
                Run.sleep(50); // The thread that accepted before has not ended yet.
            }
        }
    }

    private void accept(ServerSocket s) {
        while (true) {
            Socket c;
            try {
                c = s.accept();
                c.setTcpNoDelay(true);
            } catch (IOException e) {
                return; // It crashed.
            }
            connections.add(c);
            Run.thread(() -> {
                try {
                    serve(c, new BufferedInputStream(c.getInputStream()));
                } catch (IOException | InterruptedException e) {
                    // The other side left, or this one crashed.
                } finally {
                    connections.remove(c);
                    close(c);
                }
            });
        }
    }

    /** Ends like a process that is killed: refuses connections and resets the open ones. */
    void crash() {
        close(server);
        for (Socket c : connections) {
            reset(c);
        }
    }

    static void reset(Socket c) {
        try {
            c.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        close(c);
    }

    static void close(AutoCloseable c) {
        try {
            c.close();
        } catch (Exception e) {
            // Nothing is left to close.
        }
    }
}
