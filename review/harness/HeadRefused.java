import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * The store is down for 8 s. A client that keeps its connections open sends HEAD and then GET on one connection; an answer to
 * HEAD has no body, so what follows its head has to be the next answer.
 */
public final class HeadRefused implements CaseMain.Case {
    private static final long DOWN_MS = 8_000;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        for (int i = 0; i < 3; i++) {
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, Socket s, OutputStream out) throws IOException {
                    if (!r.method.equals("HEAD")) {
                        super.answer(r, s, out);
                        return;
                    }
                    record.line("engine %s runs %s", id, r.id());
                    write(out, head(r, 200) + "Content-Length: 800\r\n\r\n");
                }
            });
        }
        for (int i = 0; i < 3; i++) {
            d.edge("edge-" + i, "zone-" + i);
        }
        d.startEdges();
        Engine.sleep(5_000);
        if (trouble) {
            d.edges.forEach(e -> e.door.mode = Store.Mode.BUSY);
            record.line("the store is down");
        }
        long startMs = record.nowMs();
        int wrong = 0;
        while (record.nowMs() < startMs + DOWN_MS) {
            for (Edge e : d.edges) {
                wrong += headThenGet(e, record) ? 0 : 1;
            }
            Engine.sleep(250);
        }
        d.edges.forEach(e -> e.door.mode = Store.Mode.OPEN);
        record.line("%d answers were no answers in the protocol", wrong);
        return wrong > 0;
    }

    /** Sends both requests; returns whether each got an answer in the protocol. */
    private static boolean headThenGet(Edge edge, Record record) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(edge.ip, edge.frontPort), 1_000);
            s.setSoTimeout(2_000);
            InputStream in = new BufferedInputStream(s.getInputStream());
            String id = request(s, "HEAD", edge, record);
            String status = Engine.readLine(in);
            String line;
            boolean close = false;
            while ((line = Engine.readLine(in)) != null && !line.isEmpty()) {
                close |= line.equalsIgnoreCase("connection: close");
            }
            record.line("client gets %s for %s", status, id);
            if (close) {
                return true;
            }
            id = request(s, "GET", edge, record);
            status = Engine.readLine(in);
            record.line("client gets %s for %s", status, id);
            if (status == null || status.startsWith("HTTP/1.1 ")) {
                return true;
            }
            record.line("MIXED: these bytes are no answer in the protocol");
            return false;
        } catch (IOException e) {
            record.line("client gets no answer: %s", e.toString());
            return true;
        }
    }

    private static String request(Socket s, String method, Edge edge, Record record) throws IOException {
        String id = Caller.newId();
        record.line("client sends %s to %s: %s /plain/a", id, edge.name, method);
        Engine.write(s.getOutputStream(), method + " /plain/a HTTP/1.1\r\nHost: " + Deployment.HOST
                + "\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: 600\r\nAuthorization: Bearer key-a\r\n\r\n");
        return id;
    }
}
