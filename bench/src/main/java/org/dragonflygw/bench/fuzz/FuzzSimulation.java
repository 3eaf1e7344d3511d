package org.dragonflygw.bench.fuzz;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dragonflygw.bench.history.HistoryChecker;
import org.dragonflygw.bench.history.HistoryEntry;
import org.dragonflygw.bench.history.HistoryEvent.Crashed;
import org.dragonflygw.bench.history.HistoryRecorder;
import org.dragonflygw.bench.history.Promise;
import org.dragonflygw.bench.history.Violation;

/** Routers, endpoints and the store in one process on one clock, for one run of steps. For one thread. */
public final class FuzzSimulation {
    /** Time after which a leaving endpoint must get no new work, in milliseconds. */
    public static final long LEAVING_LIMIT_MILLIS = 3_000;

    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 3;
    private static final int KEYS = 4;
    private static final long SKEW_MILLIS = 1_500;
    private static final long SETTLE_MILLIS = 60_000;
    private static final int REPEATS = 3;
    private static final long REPEAT_MILLIS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final FaultCounts counts = new FaultCounts();
    private final HistoryRecorder history = new HistoryRecorder(time);
    private final FuzzStore store = new FuzzStore(time, counts);
    private final FuzzEndpoints endpoints = new FuzzEndpoints(ENDPOINTS, time, history, counts);
    private final List<FuzzDaemon> routers = new ArrayList<>();
    private final Set<Integer> leaving = new HashSet<>();
    private int requests;
    private int incarnations;
    private boolean anyCrash;

    public FuzzSimulation() {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(newRouter(i));
        }
    }

    /** Faults that hit something so far. */
    public FaultCounts counts() {
        return counts;
    }

    /** The history so far. */
    public List<HistoryEntry> history() {
        return history.entries();
    }

    /** Takes a step. */
    public void apply(FuzzStep step) {
        if (step instanceof FuzzStep.Book book) {
            for (int i = 0; i < book.deliveries(); i++) {
                start(book.router() + i, new FuzzCall("k" + book.key() % KEYS, book.content()));
            }
        } else if (step instanceof FuzzStep.Chat chat) {
            start(chat.router(), new FuzzCall("", chat.router()));
        } else if (step instanceof FuzzStep.FailStore fail) {
            store.setFault(fail.fault());
        } else if (step instanceof FuzzStep.FailEndpoint fail) {
            endpoints.get(fail.endpoint() % ENDPOINTS).setFault(fail.fault());
        } else if (step instanceof FuzzStep.Pause pause) {
            routers.get(pause.router() % ROUTERS).pause(pause.millis());
        } else if (step instanceof FuzzStep.Crash crash) {
            crash(crash.router() % ROUTERS);
        } else if (step instanceof FuzzStep.Leave leave) {
            leave(leave.endpoint() % ENDPOINTS);
        } else if (step instanceof FuzzStep.Advance advance) {
            time.advance(advance.millis());
        }
    }

    /** Ends all faults, waits until all is settled, and checks the history and that nothing is left over. */
    public List<Violation> finish() {
        store.setFault(StoreFault.NONE);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.get(i).setFault(EndpointFault.NONE);
        }
        time.advance(SETTLE_MILLIS);
        List<Integer> mustRun = keysThatMustRun();
        for (int i = 0; i < REPEATS; i++) {
            for (int key : mustRun) {
                start(key, new FuzzCall("k" + key, 0));
                time.advance(REPEAT_MILLIS);
            }
        }
        time.advance(SETTLE_MILLIS);
        List<Violation> violations = new ArrayList<>(HistoryChecker.check(history(), LEAVING_LIMIT_MILLIS));
        checkKeysHaveRun(mustRun, violations);
        checkIdle(violations);
        return violations;
    }

    private FuzzDaemon newRouter(int index) {
        long skew = (index - 1) * SKEW_MILLIS;
        return new FuzzDaemon("r" + index + '.' + incarnations, ++incarnations, skew, time, store);
    }

    private void start(int router, FuzzCall call) {
        String id = "q" + requests++;
        new FuzzRequest(id, call, routers.get(router % ROUTERS), endpoints, history).start();
    }

    private void crash(int index) {
        anyCrash = true;
        FuzzDaemon router = routers.get(index);
        history.record(new Crashed(router.id()));
        router.crash().forEach(FuzzRequest::breakConnection);
        routers.set(index, newRouter(index));
    }

    private void leave(int index) {
        if (leaving.size() < ENDPOINTS - 1 && leaving.add(index)) {
            endpoints.leave(index);
        }
    }

    /** Keys that no endpoint can have run, going by what was sent and answered. */
    private List<Integer> keysThatMustRun() {
        if (anyCrash) {
            return List.of();
        }
        Set<String> maybeRun = new SubmissionHistory(history()).submissionsMaybeRun();
        List<Integer> keys = new ArrayList<>();
        for (int key = 0; key < KEYS; key++) {
            if (!maybeRun.contains(new FuzzCall("k" + key, 0).submission())) {
                keys.add(key);
            }
        }
        return keys;
    }

    private void checkKeysHaveRun(List<Integer> keys, List<Violation> violations) {
        Set<String> ran = new SubmissionHistory(history()).submissionsRun();
        for (int key : keys) {
            String submission = new FuzzCall("k" + key, 0).submission();
            if (!ran.contains(submission)) {
                violations.add(new Violation(Promise.NOTHING_LOST, submission, "cannot run any more"));
            }
        }
    }

    private void checkIdle(List<Violation> violations) {
        for (FuzzDaemon router : routers) {
            if (!router.isIdle()) {
                violations.add(new Violation(Promise.NOTHING_LOST, router.id(), "something is left open"));
            }
        }
    }
}
