import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store comes back from a copy some seconds old, in which the version that took a key away is missing, while a
 * machine is stopped and started. Until the operator has written the version again, clients send requests with that key.
 */
public final class StoreFromCopy implements CaseMain.Case {
    private static final long REVOKE_MS = 5_000;
    /** Time from the acknowledgement until the store goes away; the copy is a little older. */
    private static final long AWAY_AFTER_MS = 4_200;

    private static final long AWAY_MS = 400;
    /** Time after its return in which the operator writes again what was lost. */
    private static final long WRITTEN_AGAIN_MS = 2_000;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        String with = Deployment.configuration(1, 20, Deployment.tenant("bank", "key-kept"),
                Deployment.tenant("hall", "key-revoked", "key-other"));
        String without = Deployment.configuration(2, 20, Deployment.tenant("bank", "key-kept"),
                Deployment.tenant("hall", "key-other"));
        d.store.write("op", "config", with);
        for (int i = 0; i < 3; i++) {
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, java.net.Socket s, java.io.OutputStream out) throws java.io.IOException {
                    ran.add(r.id());
                    super.answer(r, s, out);
                }
            });
        }
        for (int i = 0; i < 3; i++) {
            d.edge("edge-" + i, "zone-" + i);
        }
        d.startEdges();
        Engine.sleep(6_000);
        for (Edge e : d.edges) {
            Caller.Answer before = Caller.send(e, "GET", Deployment.HOST, "/plain/a", "key-revoked", Caller.newId(), 600, "", record);
            if (before.status() != 200) {
                throw new IllegalStateException("the key is not accepted before it is taken away");
            }
        }
        Store.Copy copy = d.store.copy();
        record.line("the copy is made");
        Engine.sleep(100);
        d.store.write("op", "config", without);
        long ackMs = record.nowMs();
        record.line("operator: version 2 acknowledged, key-revoked taken away");
        Engine.sleep(1_000);
        for (Edge e : d.edges) {
            Caller.Answer after = Caller.send(e, "GET", Deployment.HOST, "/plain/a", "key-revoked", Caller.newId(), 600, "", record);
            if (after.status() != 401) {
                throw new IllegalStateException("version 2 is not in force");
            }
        }
        Edge restarted = d.edges.get(2);
        restarted.signal("TERM");
        Engine.sleep(Math.max(0, ackMs + AWAY_AFTER_MS - record.nowMs()));
        if (trouble) {
            setMode(d, Store.Mode.BUSY);
            record.line("the store is away");
        }
        Engine.sleep(AWAY_MS);
        if (trouble) {
            d.store.restore(copy);
            setMode(d, Store.Mode.OPEN);
            record.line("the store is back from the copy, Store-Era has risen");
        }
        long backMs = record.nowMs();
        if (restarted.isAlive()) {
            throw new IllegalStateException("the machine has not ended");
        }
        restarted.start();
        boolean broken = false;
        boolean writtenAgain = false;
        while (record.nowMs() < backMs + WRITTEN_AGAIN_MS + 1_500) {
            if (!writtenAgain && record.nowMs() >= backMs + WRITTEN_AGAIN_MS) {
                writtenAgain = true;
                d.store.write("op", "config", without);
                record.line("operator: version 2 written again");
            }
            for (Edge e : d.edges) {
                String id = Caller.newId();
                long sentMs = record.nowMs();
                if (sentMs <= ackMs + REVOKE_MS) {
                    continue;
                }
                Caller.Answer a = Caller.send(e, "POST", Deployment.HOST, "/once/a", "key-revoked", id, 600, "", record);
                if (ran.contains(id)) {
                    broken = true;
                    record.line("CONFIG: %s was sent to %s %d ms after the acknowledgement and has run, status %d",
                            id, e.name, sentMs - ackMs, a.status());
                }
            }
            Engine.sleep(100);
        }
        return broken;
    }

    private static void setMode(Deployment d, Store.Mode mode) {
        for (Edge e : d.edges) {
            e.door.mode = mode;
        }
    }
}
