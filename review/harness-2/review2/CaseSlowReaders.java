package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some clients read their answers slowly; others book on kept connections meanwhile. All engines are sound. */
final class CaseSlowReaders extends Case {
    private static final int READERS = 20;
    private static final int REQUESTS = 60;
    private static final int REQUESTS_AT_ONCE = 30;
    private static final int ANSWER_BYTES = 120_000;
    private static final long STALL_MS = 6_000;
    private static final int ROUNDS = 3;
    private static final long ROUND_MS = 9_000;
    private static final int BOOKERS = 24;

    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger booked = new AtomicInteger();
    private final AtomicInteger otherwise = new AtomicInteger();
    private final AtomicLong readBytes = new AtomicLong();
    private volatile boolean ended;

    public static void main(String[] args) {
        run(new CaseSlowReaders(), args);
    }

    /** One client with a kept connection books one time after the other. */
    private void book(Edge edge) {
        try (Client c = new Client(edge)) {
            while (!ended) {
                String id = Client.newId();
                Client.Answer a = c.call("POST", "/puxa403/2f", Client.fields(id, 5000), id.getBytes());
                if (a.head == null && passedOn.contains(id)) {
                    lost.incrementAndGet();
                    note("booking " + id + " was passed on to a sound engine; " + a.end + " after " + a.ms() + " ms");
                    return;
                }
                (a.status == 200 ? booked : otherwise).incrementAndGet();
                if (a.head == null) {
                    return; // The connection has ended without the request having been passed on.
                }
            }
        } catch (Exception e) {
            note("no connection: " + e.getMessage());
        }
    }

    /** One client that sends idempotent requests one after the other on a connection, and reads their answers. */
    private void read(Edge edge, int number) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(edge.ip, edge.front), 1000);
            InputStream in = s.getInputStream();
            Thread reader = new Thread(() -> readAnswers(in));
            reader.start();
            for (int i = 0; i < REQUESTS; i++) {
                if (i % REQUESTS_AT_ONCE == 0 && i > 0) {
                    Thread.sleep(1_500);
                }
                String id = Client.newId();
                detail("sent: " + id + " GET /cufi504/list by reader " + number);
                s.getOutputStream().write(Http.ascii("GET /cufi504/list HTTP/1.1\r\n" + Client.fields(id, 15000) + "\r\n"));
            }
            while (!ended) {
                Thread.sleep(100);
            }
        } catch (IOException | InterruptedException e) {
            detail("reader " + number + ": " + e.getMessage());
        }
    }

    private void readAnswers(InputStream in) {
        byte[] buffer = new byte[65536];
        try {
            if (trouble) {
                Thread.sleep(STALL_MS);
            }
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                readBytes.addAndGet(n);
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private void playRound(Edge edge) throws Exception {
        for (int i = 0; i < BOOKERS; i++) {
            Thread t = new Thread(() -> book(edge));
            t.setDaemon(true);
            t.start();
            Thread.sleep(80);
        }
        for (int i = 0; i < READERS; i++) {
            int number = i;
            Thread t = new Thread(() -> read(edge, number));
            t.setDaemon(true);
            t.start();
        }
        note(READERS + " clients ask " + REQUESTS + " times each, and read "
                + (trouble ? "nothing for " + STALL_MS + " ms, then at once" : "at once"));
        long end = System.nanoTime() + ROUND_MS * 1_000_000;
        while (System.nanoTime() < end && edge.process.isAlive()) {
            Thread.sleep(100);
        }
        ended = true;
        Thread.sleep(2_500);
    }

    @Override
    boolean isCordillera() {
        return true;
    }

    @Override
    boolean play() throws Exception {
        config();
        String list = "s".repeat(ANSWER_BYTES);
        for (int i = 0; i < 3; i++) {
            new Engine("i-3c20b0" + i, "wuno96b", "zagreb-b", net + (120 + i), 16, "v1", store, (e, c) -> {
                c.readBody();
                boolean booking = c.head.method().equals("POST");
                passedOn.add(c.id());
                Thread.sleep(booking ? 2_000 : 5);
                String body = booking ? "booked" : list;
                c.write("HTTP/1.1 200 OK\r\n" + c.signedFields() + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            });
        }
        Edge edge = edge("edge-zagreb-a-1", "zagreb-a", 21);
        edge.start();
        edge.awaitReady(30_000);
        int ends = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Thread.sleep(3_500);
            ended = false;
            playRound(edge);
            if (!edge.process.isAlive()) {
                ends++;
                Files.lines(edge.log).filter(l -> l.contains("Error: ") || l.contains("Exception in")).forEach(l -> detail("its output: " + l));
                note("the host's process has ended by itself with " + edge.process.exitValue() + "; it is started again");
                edge.start();
                edge.awaitReady(30_000);
            }
        }
        note("bookings: " + booked + ", other answers: " + otherwise + ", passed on and closed without an answer: " + lost
                + "; ends of the host's process: " + ends + "; bytes read by the readers: " + readBytes);
        return lost.get() <= 3;
    }
}
