package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A host is stopped while it serves streams; a sound engine falls silent for a moment, the only one of its version. */
final class CaseSilence extends Case {
    private static final int STREAMS = 12;
    private static final int EVENTS = 30;
    private static final long GAP_MS = 150;
    private static final long SILENT_MS = 1_400;
    private static final long GRACE_MS = 8_000;

    private volatile long silentFrom = Long.MAX_VALUE;
    private volatile long silentUntil = Long.MIN_VALUE;

    public static void main(String[] args) {
        run(new CaseSilence(), args);
    }

    /** Streams like {@link Case#streaming}; where silence is due, the engine sends nothing and then goes on. */
    private Engine.Handler sometimesSilent() {
        return (e, c) -> {
            c.readBody();
            int from = Integer.parseInt(c.head.get("Last-Event-Id", "0"));
            Thread.sleep(60);
            c.write("HTTP/1.1 200 OK\r\n" + c.signedFields()
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            try {
                for (int i = from + 1; i <= EVENTS; i++) {
                    long now = System.nanoTime();
                    if (now >= silentFrom && now < silentUntil) {
                        Thread.sleep((silentUntil - now) / 1_000_000);
                    }
                    String event = "id: " + i + "\ndata: " + e.id + " " + e.version + " piece " + i + "\n\n";
                    c.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                    Thread.sleep(GAP_MS);
                }
                c.write("0\r\n\r\n");
                detail(e.id + " has sent all of " + c.id());
            } catch (java.io.IOException x) {
                detail(e.id + " could not go on with " + c.id() + ", its connection was closed");
                throw x;
            }
        };
    }

    private static void ask(Client c, Client.Answer a, String id, int number) {
        byte[] body = new byte[830];
        new Random().nextBytes(body);
        c.send(a, "POST", "/pufi791/2f", Client.fields(id, 15000) + Client.promptFields(id, number), body);
        c.receive(a);
    }

    @Override
    boolean play() throws Exception {
        config();
        new Engine("i-7f3a9110", "huvo11a", "zagreb-a", net + "100", 64, "v1", store, sometimesSilent());
        new Engine("i-7f3a9111", "huvo11a", "zagreb-b", net + "101", 64, "v2", store, streaming(EVENTS, GAP_MS, 60));
        Edge edge = edge("edge-zagreb-a-1", "zagreb-a", 21);
        edge.start();
        edge.awaitReady(30_000);
        for (int i = 0; i < 24; i++) { // The host has served for a while.
            Thread.sleep(500);
            int number = i;
            new Thread(() -> {
                try (Client c = new Client(edge)) {
                    ask(c, new Client.Answer(), Client.newId(), number);
                } catch (Exception e) {
                    note("warm-up failed: " + e);
                }
            }).start();
        }
        Thread.sleep(6_000);
        List<Client.Answer> answers = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Client.Answer a = new Client.Answer();
            String id = Client.newId();
            answers.add(a);
            ids.add(id);
            Client c = new Client(edge);
            int number = i;
            Thread t = new Thread(() -> ask(c, a, id, number));
            t.start();
            threads.add(t);
        }
        Thread.sleep(1_000);
        long stopNanos = System.nanoTime();
        edge.signal("TERM");
        note(edge.name + " gets SIGTERM");
        Thread.sleep(1_000);
        if (trouble) {
            silentUntil = System.nanoTime() + SILENT_MS * 1_000_000;
            silentFrom = System.nanoTime();
            note("i-7f3a9110 sends nothing for " + SILENT_MS + " ms");
        }
        for (Thread t : threads) {
            t.join(20_000);
        }
        int lost = 0;
        for (int i = 0; i < STREAMS; i++) {
            Client.Answer a = answers.get(i);
            long afterStopMs = (a.endNanos - stopNanos) / 1_000_000;
            String engine = a.text().contains("i-7f3a9110") ? "i-7f3a9110" : "i-7f3a9111";
            boolean cut = !(a.complete && a.text().contains("piece " + EVENTS)) && afterStopMs < GRACE_MS * 5 / 6;
            lost += cut ? 1 : 0;
            note("stream " + ids.get(i) + " at " + engine + " " + a + " endedAfterSigtermMs=" + afterStopMs + (cut ? "  <-- cut" : ""));
        }
        note("streams: " + STREAMS + ", cut by the host that stops: " + lost);
        return lost == 0;
    }
}
