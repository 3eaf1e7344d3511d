package review2;

import java.util.Arrays;

/** A long request whose answer begins early and has no length; the engine ends before the answer does. */
final class CaseReset extends Case {
    public static void main(String[] args) {
        run(new CaseReset(), args);
    }

    private static final int ANSWER = 800;

    /** The largest body that the configuration allows, so that a part of it waits in the router. */
    private static final int BODY_BYTES = 4_194_304;

    private static final long DOWN_MS = 1_000;
    private static final int REQUESTS = 6;
    private static final int RECEIVE_BYTES = 16_384;

    /** Begins a whole or broken answer without a length before the request was read. */
    private void answerEarly(Engine e, Engine.Call c) throws Exception {
        String body = "b".repeat(ANSWER);
        c.write("HTTP/1.1 200 OK\r\n" + c.signedFields() + "Connection: close\r\n\r\n" + body.substring(0, ANSWER / 2));
        Thread.sleep(300);
        if (trouble) {
            detail("crash: " + e.id + " ends within its answer to " + c.id());
            e.crash();
            Thread.sleep(DOWN_MS);
            e.start("v1");
            e.beat();
            return;
        }
        c.write(body.substring(ANSWER / 2));
        c.readBody();
        c.bodyRead = false; // The end of the connection ends the answer.
        detail("end: " + e.id + " has answered " + c.id() + " in whole");
    }

    @Override
    boolean play() throws Exception {
        config();
        Engine.receiveBytes = RECEIVE_BYTES;
        String[] zones = {"zagreb-a", "zagreb-b", "karlovac"};
        for (int i = 0; i < zones.length; i++) {
            new Engine("i-7f3a91" + (10 + i), "wuno96b", zones[i], net + (100 + i), 6, "v1", store, this::answerEarly);
        }
        Edge edge = edge("edge-zagreb-a-1", "zagreb-a", 21);
        edge.start();
        edge.awaitReady(30_000);
        byte[] body = new byte[BODY_BYTES];
        int wrong = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Thread.sleep(2 * DOWN_MS); // One engine of the three is down at a time.
            try (Client client = new Client(edge)) {
                String id = Client.newId();
                Arrays.fill(body, (byte) ('a' + i));
                Client.Answer a = client.call("POST", "/puxa403/2f", Client.fields(id, 5000), body);
                boolean cut = a.status == 200 && a.complete && a.body.length != ANSWER;
                note("client: " + id + " " + a + (cut ? "  <-- complete, " + (ANSWER - a.body.length) + " bytes missing" : ""));
                wrong += cut ? 1 : 0;
                whole += a.status == 200 && a.complete && a.body.length == ANSWER ? 1 : 0;
            }
        }
        note("complete successes without the engine's whole body: " + wrong + ", whole answers: " + whole);
        return wrong == 0;
    }
}
