package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Clients that send streams to the edges in turn, few at first and more from a moment on. */
final class Traffic {
    private static final int SUBJECTS = 12;

    private final Run run;
    private final List<Edge> edges;
    private final double calmPerS;
    private final double busyPerS;
    private final int events;
    private final List<Stream> streams = new ArrayList<>();
    private final List<Thread> open = new ArrayList<>();
    private final Random random = new Random(67);
    private Thread sender;

    Traffic(Run run, List<Edge> edges, double calmPerS, double busyPerS, int events) {
        this.run = run;
        this.edges = edges;
        this.calmPerS = calmPerS;
        this.busyPerS = busyPerS;
        this.events = events;
    }

    /** Sends until a time; from a time before on it sends more. */
    void start(double busyFromS, double untilS) {
        sender = new Thread(() -> {
            while (run.seconds() < untilS) {
                send();
                Run.sleep((long) (1_000 / (run.seconds() < busyFromS ? calmPerS : busyPerS)));
            }
        });
        sender.start();
    }

    private void send() {
        int n = streams.size();
        Edge first = edges.get(n % edges.size());
        Edge second = edges.get((n + 1) % edges.size());
        String parts = "5c1e07a2:119," + Integer.toHexString(0x1000 + random.nextInt(SUBJECTS)) + ":580,"
                + Integer.toHexString(0x100000 + n) + ":130";
        Stream s = new Stream(run, "/pufi791/2f", parts, events);
        streams.add(s);
        Thread t = new Thread(() -> s.play(first, second));
        open.add(t);
        t.start();
    }

    /** Waits for all streams to end. */
    void join() throws IOException {
        try {
            sender.join();
            for (Thread t : open) {
                t.join(20_000);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Checks the rule ORDER and ends the run. */
    void judge() {
        int complete = 0;
        int joined = 0;
        for (Stream s : streams) {
            complete += s.isComplete() ? 1 : 0;
            if (s.versions.size() > 1) {
                joined++;
                run.note("joined from software " + s.versions + ": " + s.attempts);
            }
        }
        run.note(streams.size() + " streams, " + complete + " complete, " + joined + " joined");
        if (complete < streams.size() / 2) {
            run.end(Run.COULD_NOT_RUN, "could not run: only " + complete + " of " + streams.size() + " streams complete");
        }
        boolean broken = joined > 2 || run.brokenCount() > 0;
        run.end(
                broken ? Run.BROKEN : Run.HELD,
                (broken ? "ORDER broken: " : "ORDER held: ") + joined
                        + " streams hold events of two software versions");
    }
}
