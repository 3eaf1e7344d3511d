package org.dragonflygw.standins.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HttpListenerTest {
    private static final int CLIENTS = 4;
    private static final int CLOSURES = 100;
    private static final int WAIT_MILLIS = 2_000;

    private final HttpListener listener = new HttpListener(0, "listener", exchange -> exchange.status(204));
    private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);

    @AfterEach
    void stop() {
        listener.close();
        clients.shutdownNow();
    }

    @Nested
    final class ClosedPort {
        /** Each client connects without pause until a connection fails, so that connections arrive while the port closes. */
        @Test
        void dropsConnectionsThatArriveWhileItCloses() throws Exception {
            int held = 0;
            for (int i = 0; i < CLOSURES; i++) {
                held += heldAfterClosure();
                listener.openPort();
            }

            assertThat(held).isEqualTo(0);
        }

        @Test
        void servesAgainAfterItIsReopened() {
            listener.closePort();
            listener.openPort();

            assertThat(TestHttp.call("GET", listener.baseUrl() + "/", "").status())
                    .isEqualTo(204);
        }
    }

    /** Closes the port and returns how many of the clients' connections are neither ended nor reset. */
    private int heldAfterClosure() throws Exception {
        CountDownLatch connected = new CountDownLatch(CLIENTS);
        List<Future<List<Socket>>> opened = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            opened.add(clients.submit(() -> connectUntilFailure(connected)));
        }
        connected.await();
        listener.closePort();
        int held = 0;
        for (Future<List<Socket>> sockets : opened) {
            for (Socket socket : sockets.get()) {
                held += isHeld(socket) ? 1 : 0;
            }
        }
        return held;
    }

    private List<Socket> connectUntilFailure(CountDownLatch connected) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try {
            while (true) {
                sockets.add(new Socket(InetAddress.getLoopbackAddress(), listener.port()));
                connected.countDown();
            }
        } catch (SocketException e) {
            connected.countDown();
            return sockets;
        }
    }

    /** Returns whether the other side takes a byte of a request and leaves the connection open. */
    private static boolean isHeld(Socket socket) throws IOException {
        try (socket) {
            socket.setSoTimeout(WAIT_MILLIS);
            socket.getOutputStream().write('G');
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (SocketException e) {
            return false;
        }
    }
}
