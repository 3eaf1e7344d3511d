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

/**
 * Simulates routers, endpoints and the store of a fleet in one process under virtual time, for one run of steps. Not
 * thread-safe.
 */
public final class FuzzSimulation {
    /** Time after which a draining endpoint must get no new request, in milliseconds. */
    public static final long LEAVING_LIMIT_MILLIS = 3_000;

    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 3;
    private static final int KEYS = 4;
    private static final long CLOCK_SKEW_MILLIS = 1_500;
    private static final long SETTLE_MILLIS = 60_000;
    private static final int FINAL_BOOKINGS_PER_KEY = 3;
    private static final long FINAL_BOOKING_INTERVAL_MILLIS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final FaultCounts counts = new FaultCounts();
    private final HistoryRecorder history = new HistoryRecorder(time);
    private final FuzzStore store = new FuzzStore(time, counts);
    private final FuzzEndpoints endpoints = new FuzzEndpoints(ENDPOINTS, time, history, counts);
    private final List<FuzzDaemon> routers = new ArrayList<>();
    private final Set<Integer> leaving = new HashSet<>();
    private int requests;
    private int incarnations;
    private boolean routerCrashed;

    public FuzzSimulation() {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(newRouter(i));
        }
    }

    /** Returns how often each fault affected a call so far. */
    public FaultCounts counts() {
        return counts;
    }

    /** Returns the history so far. */
    public List<HistoryEntry> history() {
        return history.entries();
    }

    /** Applies a step. */
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

    /**
     * Ends all faults, waits until every request has ended and books every key that cannot have run yet. Then checks
     * the history, that these keys have run, and that no router holds open requests, claims or writes.
     */
    public List<Violation> finish() {
        store.setFault(StoreFault.NONE);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.get(i).setFault(EndpointFault.NONE);
        }
        time.advance(SETTLE_MILLIS);
        List<Integer> mustRun = keysThatMustRun();
        for (int i = 0; i < FINAL_BOOKINGS_PER_KEY; i++) {
            for (int key : mustRun) {
                start(key, new FuzzCall("k" + key, 0));
                time.advance(FINAL_BOOKING_INTERVAL_MILLIS);
            }
        }
        time.advance(SETTLE_MILLIS);
        List<Violation> violations = new ArrayList<>(HistoryChecker.check(history(), LEAVING_LIMIT_MILLIS));
        checkKeysHaveRun(mustRun, violations);
        checkIdle(violations);
        return violations;
    }

    private FuzzDaemon newRouter(int index) {
        long skew = (index - 1) * CLOCK_SKEW_MILLIS;
        return new FuzzDaemon("r" + index + '.' + incarnations, ++incarnations, skew, time, store);
    }

    private void start(int router, FuzzCall call) {
        String id = "q" + requests++;
        new FuzzRequest(id, call, routers.get(router % ROUTERS), endpoints, history).start();
    }

    private void crash(int index) {
        routerCrashed = true;
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

    /**
     * Returns the keys that no endpoint can have run, judging by the dispatches and answers in the history. Returns no
     * key if a router crashed.
     */
    private List<Integer> keysThatMustRun() {
        if (routerCrashed) {
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
                violations.add(new Violation(
                        Promise.NOTHING_LOST, submission, "did not run when booked after all faults ended"));
            }
        }
    }

    private void checkIdle(List<Violation> violations) {
        for (FuzzDaemon router : routers) {
            if (!router.isIdle()) {
                violations.add(new Violation(
                        Promise.NOTHING_LOST, router.id(), "open requests, claims or queued writes remain"));
            }
        }
    }
}
