package org.dragonflygw.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.apache.thrift.transport.TTransportException;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client and server of calls between daemons over real sockets, including silent, restarted and failing peers. */
final class PeerCallsTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final byte[] CONTENT = {1, 2, 3};

    private final QueueingGossip gossip = new QueueingGossip();
    private PeerServer server;
    private PeerClients clients;
    private PeerAddress address;

    @BeforeEach
    void start() throws Exception {
        server = new PeerServer(
                RouterFixture.settings().setWorkerThreads(2), new PeerDispatcher(new RefusingHandlers(), gossip));
        server.start();
        clients = new PeerClients();
        address = new PeerAddress("127.0.0.1", server.port());
    }

    @AfterEach
    void stop() {
        clients.stop();
        server.stop();
    }

    @Test
    void pendingCallsOccupyNoWorkerThread() throws Exception {
        int calls = 16;
        gossip.expect(calls);
        List<CompletableFuture<SheetReply>> answers = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            String id = "request-" + i;
            answers.add(CompletableFuture.supplyAsync(
                    () -> fetch(address, id, TIMEOUT_MILLIS), task -> new Thread(task).start()));
        }
        gossip.awaitAll();
        gossip.answerAll();

        for (CompletableFuture<SheetReply> answer : answers) {
            assertThat(answer.get().getContent()).isEqualTo(CONTENT);
        }
    }

    @Test
    void callToClosedPortFailsAsNotSent() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        PeerException e = assertThrows(
                PeerException.class, () -> fetch(new PeerAddress("127.0.0.1", port), "now", TIMEOUT_MILLIS));

        assertThat(e.code()).isEqualTo(PeerCode.NOT_SENT);
    }

    @Test
    void callToSilentPeerFailsAsOutcomeUnknown() {
        PeerException e = assertThrows(PeerException.class, () -> fetch(address, "never answered", 200));

        assertThat(e.code()).isEqualTo(PeerCode.OUTCOME_UNKNOWN);
    }

    @Test
    void onlyOneCallFailsAfterPeerRestart() throws Exception {
        for (int i = 0; i < 4; i++) {
            fetch(address, "now", TIMEOUT_MILLIS);
        }
        int port = server.port();
        server.stop();
        PeerServer next = new PeerServer(
                RouterFixture.settings().setWorkerThreads(2).setPeerPort(port),
                new PeerDispatcher(new RefusingHandlers(), gossip));
        awaitStart(next);

        PeerException e = assertThrows(PeerException.class, () -> fetch(address, "now", TIMEOUT_MILLIS));
        assertThat(e.code()).isEqualTo(PeerCode.OUTCOME_UNKNOWN);
        assertThat(fetch(address, "now", TIMEOUT_MILLIS).isFound()).isFalse();
        next.stop();
    }

    @Test
    void handlerExceptionFailsTheCallAsRefused() {
        PeerException e = assertThrows(PeerException.class, () -> fetch(address, "broken", TIMEOUT_MILLIS));

        assertThat(e.code()).isEqualTo(PeerCode.REFUSED);
    }

    @Test
    void oversizedFrameClosesOnlyItsConnection() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            OutputStream out = socket.getOutputStream();
            out.write(new byte[] {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3});
            out.flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(fetch(address, "now", TIMEOUT_MILLIS).isFound()).isFalse();
    }

    /** Starts a server on a port that the previous server may still hold for a moment. */
    private static void awaitStart(PeerServer next) throws InterruptedException {
        for (int i = 0; i < 500; i++) {
            try {
                next.start();
                return;
            } catch (TTransportException e) {
                Thread.sleep(10);
            }
        }
        throw new AssertionError("port stays in use");
    }

    private SheetReply fetch(PeerAddress peer, String digest, int timeoutMillis) {
        return clients.fetchSheet(peer, new SheetRequest(digest), timeoutMillis);
    }

    /** Holds sheet fetches until the test answers them all. */
    private static final class QueueingGossip implements GossipHandler {
        private final ConcurrentLinkedQueue<PeerReply<SheetReply>> waiting = new ConcurrentLinkedQueue<>();
        private CountDownLatch arrived = new CountDownLatch(0);

        void expect(int calls) {
            arrived = new CountDownLatch(calls);
        }

        void awaitAll() throws InterruptedException {
            arrived.await();
        }

        void answerAll() {
            waiting.forEach(reply -> reply.send(new SheetReply(true, ByteBuffer.wrap(CONTENT))));
        }

        @Override
        public void exchange(GossipMessage message, PeerReply<GossipMessage> reply) {
            reply.send(message);
        }

        @Override
        public void fetchSheet(SheetRequest request, PeerReply<SheetReply> reply) {
            if (request.getDigest().equals("broken")) {
                throw new IllegalStateException("broken");
            }
            if (request.getDigest().equals("now")) {
                reply.send(new SheetReply(false, ByteBuffer.wrap(CONTENT)));
                reply.send(new SheetReply(true, ByteBuffer.wrap(CONTENT)));
                return;
            }
            waiting.add(reply);
            arrived.countDown();
        }
    }
}
