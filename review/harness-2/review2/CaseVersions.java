package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Engines crash and come back under their ids with newer software while the store is down; later others crash. */
final class CaseVersions extends Case {
    private static final int ENGINES = 8;
    private static final int CRASHING = 2;
    private static final int EVENTS = 76;
    private static final Pattern PIECE = Pattern.compile("data: (\\S+) (\\S+) piece (\\d+)");

    private final boolean storeDown = !"0".equals(System.getenv("STORE_DOWN"));

    public static void main(String[] args) {
        run(new CaseVersions(), args);
    }

    private final List<Engine> engines = new ArrayList<>();
    private final List<Client.Answer> answers = new ArrayList<>();
    private final List<String> ids = new ArrayList<>();

    private void crash(int from) throws Exception {
        Thread.sleep(100);
        for (int i = from; i < from + CRASHING; i++) {
            engines.get(i).crash();
            note("engine " + engines.get(i).id + " (v1) crashes");
        }
        Thread.sleep(800);
        for (int i = from; i < from + CRASHING; i++) {
            engines.get(i).start("v2");
            note("engine " + engines.get(i).id + " runs again under its id, as v2");
        }
    }

    private void stream(Edge edge, int number) {
        String id = Client.newId();
        Client.Answer a = new Client.Answer();
        try (Client c = new Client(edge)) {
            byte[] body = new byte[830];
            new java.util.Random().nextBytes(body);
            c.send(a, "POST", "/pufi791/2f", Client.fields(id, 15000) + Client.promptFields(id, number % 20), body);
            c.receive(a);
        } catch (Exception e) {
            a.end = "no connection: " + e.getMessage();
        }
        synchronized (answers) {
            answers.add(a);
            ids.add(id);
        }
    }

    @Override
    boolean play() throws Exception {
        config();
        String[] zones = {"zagreb-a", "zagreb-b", "karlovac"};
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine("i-7f3a91" + (10 + i), "huvo11a", zones[i % 3], net + (100 + i), 64, "v1", store,
                    streaming(EVENTS, 150, 60)));
        }
        for (int i = 0; i < 2; i++) {
            Edge e = edge("edge-" + zones[i] + "-1", zones[i], 21 + i);
            e.start();
        }
        for (Edge e : edges) {
            e.awaitReady(30_000);
        }
        Thread.sleep(2000);
        long start = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        Thread load = new Thread(() -> {
            for (int i = 0; i < 130; i++) {
                int number = i;
                Thread t = new Thread(() -> stream(edges.get(number % 2), number));
                t.start();
                synchronized (threads) {
                    threads.add(t);
                }
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        load.start();
        Thread.sleep(2000);
        if (trouble) {
            if (storeDown) {
                store.silent(true);
                note("store: down");
            }
            long down = System.nanoTime();
            crash(0);
            crash(CRASHING);
            Thread.sleep(7_250 - (System.nanoTime() - down) / 1_000_000);
            Thread second = new Thread(() -> {
                try {
                    crash(2 * CRASHING);
                } catch (Exception e) {
                    note("last crash failed: " + e);
                }
            });
            second.start();
            Thread.sleep(8_000 - (System.nanoTime() - down) / 1_000_000);
            if (storeDown) {
                store.silent(false);
                note("store: back");
            }
            for (Engine e : engines) {
                e.beat();
            }
            second.join();
        }
        load.join();
        synchronized (threads) {
            for (Thread t : threads) {
                t.join(20_000);
            }
        }
        return judge();
    }

    private boolean judge() {
        int joined = 0;
        int whole = 0;
        int gaps = 0;
        for (int i = 0; i < answers.size(); i++) {
            Client.Answer a = answers.get(i);
            TreeSet<String> versions = new TreeSet<>();
            List<String> runs = new ArrayList<>();
            Matcher m = PIECE.matcher(a.text());
            int expected = 1;
            boolean gap = false;
            while (m.find()) {
                versions.add(m.group(2));
                String run = m.group(1) + "/" + m.group(2);
                if (runs.isEmpty() || !runs.get(runs.size() - 1).startsWith(run)) {
                    runs.add(run + " from " + m.group(3));
                }
                gap |= Integer.parseInt(m.group(3)) != expected++;
            }
            whole += a.complete && expected == EVENTS + 1 ? 1 : 0;
            gaps += gap ? 1 : 0;
            boolean isJoined = versions.size() > 1;
            joined += isJoined ? 1 : 0;
            String line = "stream " + ids.get(i) + " " + a + " " + runs + (isJoined ? "  <-- two versions" : "");
            if (isJoined) {
                note(line);
            } else {
                detail(line);
            }
        }
        note("streams: " + answers.size() + ", whole: " + whole + ", with a gap: " + gaps + ", of two versions: " + joined);
        return joined <= 2 && gaps == 0;
    }
}
