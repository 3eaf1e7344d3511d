package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The store comes back from a copy that is older than the restart of some engines under their ids, with newer software. */
final class CaseCopy extends Case {
    private static final int ENGINES = 12;
    private static final int EVENTS = 76;
    private static final Pattern PIECE = Pattern.compile("data: (\\S+) (\\S+) piece (\\d+)");

    private final boolean drill = !"0".equals(System.getenv("DRILL"));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Client.Answer> answers = new ArrayList<>();
    private final List<String> ids = new ArrayList<>();

    public static void main(String[] args) {
        run(new CaseCopy(), args);
    }

    /** Replaces idle engines by newer ones under the same ids and addresses. */
    private void replace(int... numbers) throws Exception {
        for (int i : numbers) {
            engines.get(i).crash();
        }
        Thread.sleep(800);
        for (int i : numbers) {
            engines.get(i).start("v2");
            engines.get(i).beat();
            note("engine " + engines.get(i).id + " was replaced and runs under its id, as v2");
        }
        Thread.sleep(100);
    }

    private void load(List<Thread> threads, int number, String more, long gapMs) throws Exception {
        Thread t = new Thread(() -> stream(edges.get(number % 2), number, more));
        t.start();
        threads.add(t);
        Thread.sleep(gapMs);
    }

    private static void join(List<Thread> threads) throws InterruptedException {
        for (Thread t : threads) {
            t.join(20_000);
        }
        threads.clear();
    }

    private void stream(Edge edge, int number, String more) {
        String id = Client.newId();
        Client.Answer a = new Client.Answer();
        try (Client c = new Client(edge)) {
            byte[] body = new byte[830];
            new Random().nextBytes(body);
            c.send(a, "POST", "/pufi791/2f", Client.fields(id, 15000) + Client.promptFields(id, number % 20) + more, body);
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
            Thread.sleep(1200 / ENGINES); // Heartbeats come one after the other.
        }
        for (int i = 0; i < 2; i++) {
            Edge e = edge("edge-" + zones[i] + "-1", zones[i], 21 + i);
            e.start();
        }
        for (Edge e : edges) {
            e.awaitReady(30_000);
        }
        Thread.sleep(2000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 36; i++) { // The hosts have served for a while.
            load(threads, i, "X-Short: 1\r\n", 330);
        }
        join(threads);
        answers.clear();
        ids.clear();
        store.copy();
        note("store: a copy is made");
        if (trouble) {
            replace(0, 2);
            replace(4, 6);
            replace(8);
        } else {
            Thread.sleep(2_700);
        }
        Thread.sleep(700);
        for (int i = 0; i < 100; i++) {
            load(threads, i, "", 40);
        }
        if (trouble) {
            if (drill) {
                store.silent(true);
                store.restore();
                Thread.sleep(300);
                store.silent(false);
                note("store: back from the copy");
            } else {
                Thread.sleep(300);
            }
            Thread.sleep(650);
            for (int i : new int[] {1, 3, 5}) {
                engines.get(i).crash();
                note("engine " + engines.get(i).id + " (" + engines.get(i).version + ") crashes");
            }
        }
        join(threads);
        return judge();
    }

    private boolean judge() {
        int joined = 0;
        int whole = 0;
        for (int i = 0; i < answers.size(); i++) {
            Client.Answer a = answers.get(i);
            TreeSet<String> versions = new TreeSet<>();
            List<String> runs = new ArrayList<>();
            Matcher m = PIECE.matcher(a.text());
            int pieces = 0;
            while (m.find()) {
                versions.add(m.group(2));
                String run = m.group(1) + "/" + m.group(2);
                if (runs.isEmpty() || !runs.get(runs.size() - 1).startsWith(run)) {
                    runs.add(run + " from " + m.group(3));
                }
                pieces++;
            }
            whole += a.complete && pieces == EVENTS ? 1 : 0;
            boolean isJoined = versions.size() > 1;
            joined += isJoined ? 1 : 0;
            String line = "stream " + ids.get(i) + " " + a + " " + runs + (isJoined ? "  <-- two versions" : "");
            if (isJoined) {
                note(line);
            } else {
                detail(line);
            }
        }
        note("streams: " + answers.size() + ", whole: " + whole + ", of two versions: " + joined);
        return joined <= 2;
    }
}
