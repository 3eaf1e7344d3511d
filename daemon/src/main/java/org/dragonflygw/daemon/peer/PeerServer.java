package org.dragonflygw.daemon.peer;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.dragonflygw.wire.peer.Peer;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Thrift server for calls of other daemons. Frame sizes are bounded, and a call that waits for its answer occupies no
 * thread. Thread-safe.
 */
@Singleton
public final class PeerServer implements Managed {
    /** Maximum size of a message between daemons, in bytes. */
    public static final int MAX_FRAME_BYTES = 16_777_216;

    private static final long MAX_READ_BUFFER_BYTES = 67_108_864;
    private static final int CLIENT_TIMEOUT_MILLIS = 0; // no timeout
    private static final int SELECTOR_THREADS = 2;

    private final RouterSettings settings;
    private final PeerDispatcher dispatcher;
    private TNonblockingServerSocket socket;
    private TThreadedSelectorServer server;
    private ExecutorService workers;

    @Inject
    public PeerServer(RouterSettings settings, PeerDispatcher dispatcher) {
        this.settings = settings;
        this.dispatcher = dispatcher;
    }

    /** Opens the port and starts to serve calls. */
    @Override
    public void start() throws TTransportException {
        socket = new TNonblockingServerSocket(
                new InetSocketAddress(settings.getHost(), settings.getPeerPort()), CLIENT_TIMEOUT_MILLIS);
        workers = Executors.newFixedThreadPool(settings.getWorkerThreads(), task -> daemonThread(task, "peer-worker"));
        TThreadedSelectorServer.Args arguments = new TThreadedSelectorServer.Args(socket)
                .processor(new Peer.AsyncProcessor<>(dispatcher))
                .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                .protocolFactory(new TCompactProtocol.Factory())
                .selectorThreads(SELECTOR_THREADS)
                .executorService(workers);
        arguments.maxReadBufferBytes = MAX_READ_BUFFER_BYTES;
        server = new TThreadedSelectorServer(arguments);
        daemonThread(server::serve, "peer-server").start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return socket.getPort();
    }

    @Override
    public void stop() {
        server.stop();
        workers.shutdownNow();
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
