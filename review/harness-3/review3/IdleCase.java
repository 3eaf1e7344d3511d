package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Engines close connections that have been idle for the time that they state, as ever. A moment later one of two edges is
 * killed, and its clients take their streams up at the other one, while four engines of their only version serve.
 */
public final class IdleCase {
    private static final int IDLE_S = 2;
    private static final long GAP_MS = 50;
    private static final int SHORT_EVENTS = 5;
    private static final int LONG_EVENTS = 140;
    private static final int LONG_STREAMS = 16;
    private static final int NEW_STREAMS = 12;
    private static final int MIN_TAKEN_UP = 12;

    public static void main(String[] args) throws IOException {
        Run.play(IdleCase::play);
    }

    private static void play(Run run) throws Exception {
        Fleet fleet = new Fleet(run, 4, 2, GAP_MS, IDLE_S);
        Edge killed = fleet.edges.get(0);
        Edge other = fleet.edges.get(1);
        List<Thread> open = new ArrayList<>();
        List<Stream> taken = new ArrayList<>();
        List<Stream> fresh = new ArrayList<>();
        for (int i = 0; i < LONG_STREAMS; i++) {
            taken.add(send(run, i, LONG_EVENTS, killed, other, open));
            send(run, 100 + i, SHORT_EVENTS, other, other, open);
            Run.sleep(20);
        }
        Run.sleep(3_500);
        if (run.trouble) {
            killed.signal("KILL");
        }
        for (int i = 0; i < NEW_STREAMS; i++) {
            fresh.add(send(run, 200 + i, SHORT_EVENTS, other, other, open));
            Run.sleep(100);
        }
        for (Thread t : open) {
            t.join(20_000);
        }
        judge(run, taken, fresh);
    }

    private static Stream send(Run run, int n, int events, Edge first, Edge second, List<Thread> open) {
        String parts = "5c1e07a2:119," + Integer.toHexString(0x1000 + n % 12) + ":580,"
                + Integer.toHexString(0x100000 + n) + ":130";
        Stream s = new Stream(run, "/pufi791/2f", parts, events);
        Thread t = new Thread(() -> s.play(first, second));
        open.add(t);
        t.start();
        return s;
    }

    private static void judge(Run run, List<Stream> streams, List<Stream> fresh) {
        long takenUp = streams.stream().filter(Stream::isTakenUp).count();
        long wentOn = streams.stream().filter(Stream::wentOn).count();
        long begun = fresh.stream().filter(s -> s.lastEvent() > 0).count();
        String seen = wentOn + " of " + takenUp + " streams that were taken up went on, " + begun + " of "
                + fresh.size() + " new ones began";
        if (begun < fresh.size() / 2 || (run.trouble && takenUp < MIN_TAKEN_UP)) {
            run.end(Run.COULD_NOT_RUN, "could not run: " + seen);
        }
        boolean broken =
                takenUp >= MIN_TAKEN_UP && (double) wentOn / takenUp < 0.5 * begun / fresh.size();
        run.end(broken ? Run.BROKEN : Run.HELD, (broken ? "LOST broken: " : "LOST held: ") + seen);
    }
}
