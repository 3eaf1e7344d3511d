import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A machine freezes for 4 s. While it stands still, the operator adds routes and takes a key away, and the store begins to
 * turn the machine away. Clients send requests with that key to the machine later than revoke_ms after the acknowledgement.
 */
public final class FrozenThenRefused implements CaseMain.Case {
    private static final long FREEZE_MS = 4_000;
    private static final long REVOKE_MS = 5_000;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        d.store.write("op", "config", Deployment.configuration(1, 100,
                Deployment.tenant("bank", "key-kept"), Deployment.tenant("hall", "key-revoked", "key-other")));
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
        Edge frozen = d.edges.get(2);
        Engine.sleep(6_000);
        for (Edge e : d.edges) {
            Caller.Answer before = Caller.send(e, "GET", Deployment.HOST, "/plain/a", "key-revoked", Caller.newId(), 600, "", record);
            if (before.status() != 200) {
                throw new IllegalStateException("the key is not accepted before it is taken away");
            }
        }
        if (trouble) {
            frozen.signal("STOP");
        }
        long frozenAt = record.nowMs();
        Engine.sleep(700);
        d.store.write("op", "config", Deployment.configuration(2, 160,
                Deployment.tenant("bank", "key-kept"), Deployment.tenant("hall", "key-revoked", "key-other")));
        record.line("operator: version 2 acknowledged, 60 more routes");
        Engine.sleep(400);
        d.store.write("op", "config", Deployment.configuration(3, 160,
                Deployment.tenant("bank", "key-kept"), Deployment.tenant("hall", "key-other")));
        long ackMs = record.nowMs();
        record.line("operator: version 3 acknowledged, key-revoked taken away");
        if (trouble) {
            frozen.door.mode = Store.Mode.BUSY;
            record.line("the store turns %s away with 503 from now on, for 8 s", frozen.name);
            Engine.sleep(Math.max(0, frozenAt + FREEZE_MS - record.nowMs()));
            frozen.signal("CONT");
        }
        Engine.sleep(Math.max(0, ackMs + REVOKE_MS + 100 - record.nowMs()));
        boolean broken = false;
        while (record.nowMs() < ackMs + 8_000) {
            for (Edge e : d.edges) {
                String id = Caller.newId();
                long sentMs = record.nowMs();
                Caller.Answer a = Caller.send(e, "POST", Deployment.HOST, "/once/a", "key-revoked", id, 600, "", record);
                if (ran.contains(id)) {
                    broken = true;
                    record.line("CONFIG: %s was sent to %s %d ms after the acknowledgement and has run, status %d",
                            id, e.name, sentMs - ackMs, a.status());
                }
            }
            Engine.sleep(100);
        }
        frozen.door.mode = Store.Mode.OPEN;
        return broken;
    }
}
