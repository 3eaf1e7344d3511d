package org.dragonflygw.standins.http;

import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An HTTP server on 127.0.0.1 whose port can be closed and reopened to simulate the crash and restart of a process.
 * Closing the port drops all connections.
 */
public final class HttpListener implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_THREADS = 32;
    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;
    private static final int ACCEPT_QUEUE = 1024;
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final Server server;
    private final ServerConnector connector;
    private final int port;

    /**
     * Starts the server and opens the port.
     *
     * @param port port; 0 for an ephemeral one
     * @param name name prefix of the server's threads
     * @param handler handles all requests
     */
    public HttpListener(int port, String name, ExchangeHandler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        connector = new DroppingConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(configuration));
        connector.setHost(LOOPBACK);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setShutdownIdleTimeout(0);
        server.addConnector(connector);
        server.setHandler(new JettyAdapter(handler));
        run("open", server::start);
        this.port = connector.getLocalPort();
        connector.setPort(this.port);
    }

    /** Returns the port, also while it is closed. */
    public int port() {
        return port;
    }

    /** Returns the base URL of the server. */
    public String baseUrl() {
        return "http://" + LOOPBACK + ":" + port;
    }

    /** Closes the port, drops all connections and refuses new ones. Must not be called from a handler. */
    public void closePort() {
        run("close", connector::stop);
    }

    /** Reopens the port after {@link #closePort}. */
    public void openPort() {
        run("reopen", connector::start);
    }

    @Override
    public void close() {
        run("stop", server::stop);
    }

    private void run(String step, Step action) {
        try {
            action.run();
        } catch (Exception e) {
            throw new StandinException(StandinCode.PORT, "cannot " + step + " the HTTP server", e);
        }
    }

    private interface Step {
        void run() throws Exception;
    }
}
