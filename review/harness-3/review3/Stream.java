package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A stream as its client sees it: one or more client attempts, of which the later ones take it up where it broke off. */
final class Stream {
    private static final int DEADLINE_MS = 15_000;
    private static final int SILENCE_MS = 3_200;

    private final Run run;
    private final String path;
    private final String parts;
    private final int events;

    /** Software versions that wrote its events, in order, without repetitions. */
    final List<String> versions = new ArrayList<>();

    final List<String> attempts = new ArrayList<>();
    private String firstAttempt = "";
    private int lastEvent;
    private boolean complete;
    private String ending = "";

    /** Whether the client took the stream up, and whether it then got a further event. */
    private boolean takenUp;

    private boolean wentOn;

    Stream(Run run, String path, String parts, int events) {
        this.run = run;
        this.path = path;
        this.parts = parts;
        this.events = events;
    }

    /** Sends the first attempt to one edge, and one more to another, if the first broke off. */
    void play(Edge first, Edge second) {
        long endNanos = System.nanoTime() + DEADLINE_MS * 1_000_000L;
        attempt(first, endNanos);
        if (!complete && lastEvent > 0) {
            takenUp = true;
            int before = lastEvent;
            attempt(second, endNanos);
            wentOn = lastEvent > before;
        }
        run.note("stream " + attempts + " ends: " + ending + ", events up to " + lastEvent + " of " + events
                + ", software " + versions);
    }

    boolean isComplete() {
        return complete;
    }

    boolean isTakenUp() {
        return takenUp;
    }

    boolean wentOn() {
        return wentOn;
    }

    int lastEvent() {
        return lastEvent;
    }

    private void attempt(Edge edge, long endNanos) {
        String id = run.newId();
        attempts.add(id);
        long leftMs = Math.max(1, (endNanos - System.nanoTime()) / 1_000_000);
        String resume = lastEvent == 0 ? "" : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstAttempt + "\r\n";
        run.note("client sends " + id + " to " + edge.name
                + (resume.isEmpty() ? "" : ", goes on after event " + lastEvent + " of " + firstAttempt));
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(edge.ip, edge.callers()), 1_000);
            s.setSoTimeout(SILENCE_MS);
            s.getOutputStream().write(Http.bytes("POST " + path + " HTTP/1.1\r\nHost: " + Run.HOST
                    + "\r\nDragonflygw-Attempt-Id: " + id
                    + "\r\nDragonflygw-Model: m\r\nDragonflygw-Token-Usage: 1460," + 5 * events
                    + "\r\nDragonflygw-Prefix-Hash: " + parts
                    + "\r\nDragonflygw-Deadline-Ms: " + leftMs + "\r\nAuthorization: Bearer " + Run.KEY + "\r\n"
                    + resume + "Content-Length: 20\r\n\r\n01234567890123456789"));
            read(s, id);
        } catch (IOException e) {
            ending = "broken off (" + e.getMessage() + ")";
        }
    }

    private void read(Socket s, String id) throws IOException {
        InputStream in = new BufferedInputStream(s.getInputStream());
        Http head = Http.readHead(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        ending = "status " + head.status();
        if (head.status() != 200) {
            return;
        }
        StringBuilder text = new StringBuilder();
        byte[] chunk;
        while ((chunk = Http.readChunk(in)).length > 0) {
            text.append(new String(chunk, java.nio.charset.StandardCharsets.ISO_8859_1));
            int end;
            while ((end = text.indexOf("\n\n")) >= 0) {
                event(text.substring(0, end), id);
                text.delete(0, end + 2);
            }
        }
        complete = true;
    }

    private void event(String text, String id) throws IOException {
        String[] lines = text.split("\n");
        int number = Integer.parseInt(lines[0].substring(4));
        if (number != lastEvent + 1) {
            run.broken("event " + number + " follows event " + lastEvent + " in " + attempts);
        }
        lastEvent = number;
        if (firstAttempt.isEmpty()) {
            firstAttempt = id;
        }
        String software = lines[1].substring(6).split(" ")[0];
        if (versions.isEmpty() || !versions.get(versions.size() - 1).equals(software)) {
            versions.add(software);
        }
    }
}
