package org.dragonflygw.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.bench.history.Ending;
import org.dragonflygw.bench.history.HistoryEvent.Dispatched;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;
import org.dragonflygw.bench.history.HistoryEvent.TokenReceived;
import org.dragonflygw.bench.history.HistoryRecorder;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.Claim;
import org.dragonflygw.core.ledger.StoredAnswer;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/**
 * One request on its path through a router: claim, slot, dispatch, answer, retry, outcome. This class only connects the
 * steps; the production classes make every decision. Not thread-safe.
 */
final class FuzzRequest {
    private static final int MAX_STALE_SLOTS = 3;

    private final String id;
    private final FuzzCall call;
    private final FuzzDaemon daemon;
    private final FuzzEndpoints endpoints;
    private final HistoryRecorder history;
    private final RequestContext context;
    private final Set<String> excluded = new HashSet<>();
    private Optional<Claim> claim = Optional.empty();
    private RunStatus run = RunStatus.NOT_RUN;
    private int attempt;
    private boolean finished;

    FuzzRequest(String id, FuzzCall call, FuzzDaemon daemon, FuzzEndpoints endpoints, HistoryRecorder history) {
        this.id = id;
        this.call = call;
        this.daemon = daemon;
        this.endpoints = endpoints;
        this.history = history;
        this.context = call.context(id, daemon);
    }

    String id() {
        return id;
    }

    FuzzCall call() {
        return call;
    }

    FuzzDaemon daemon() {
        return daemon;
    }

    RequestContext context() {
        return context;
    }

    /** Accepts the request: claims a booking in the ledger, or sends a chat to an endpoint directly. */
    void start() {
        history.record(new RequestSent(id, daemon.id(), call.submission(), call.answer(id)));
        daemon.addRequest(this);
        if (!call.isBooking()) {
            daemon.run(this::tryEndpoint);
            return;
        }
        daemon.run(() -> {
            var unused = daemon.ledger().claim(Submission.of(context)).thenAccept(this::onDecision);
        });
    }

    /** Ends the request because the router process crashed and the connection to the caller broke. */
    void breakConnection() {
        end(Ending.BROKEN, RunStatus.UNKNOWN);
    }

    /** Relays a token to the caller. */
    void relay(String token) {
        if (!finished) {
            history.record(new TokenReceived(id, token));
        }
    }

    /** Completes the request with the whole answer of an endpoint. */
    void succeed(byte[] body) {
        claim.ifPresent(held -> held.complete(new StoredAnswer(200, List.of(), Optional.of(body))));
        if (call.isBooking()) {
            relay(new String(body, StandardCharsets.UTF_8));
        }
        end(Ending.WHOLE, RunStatus.RUN);
    }

    /**
     * Handles an attempt that ended without an answer: retries if the retry policy allows it, else fails the request.
     */
    void attemptFailed(String endpoint, AttemptOutcome outcome, boolean certainlyNotRun, boolean retryable) {
        if (finished) {
            return;
        }
        run = certainlyNotRun ? run : RunStatus.UNKNOWN;
        excluded.add(endpoint);
        if (retryable && daemon.retries().tryRetry(context, outcome, certainlyNotRun, attempt)) {
            tryEndpoint();
        } else {
            fail();
        }
    }

    boolean isOver() {
        return finished;
    }

    private void onDecision(SubmissionDecision decision) {
        if (decision instanceof SubmissionDecision.Run running) {
            claim = Optional.of(running.claim());
            tryEndpoint();
        } else if (decision instanceof SubmissionDecision.Replay replay) {
            relay(new String(replay.answer().body().orElseThrow(), StandardCharsets.UTF_8));
            end(Ending.WHOLE, RunStatus.RUN);
        } else {
            end(Ending.ERROR, ((SubmissionDecision.Rejected) decision).run());
        }
    }

    private void tryEndpoint() {
        attempt++;
        acquire(1);
    }

    private void acquire(int tries) {
        endpoints.acquire(this, excluded, slot -> daemon.run(() -> onSlot(slot, tries)));
    }

    private void onSlot(Optional<FuzzSlot> slot, int tries) {
        if (slot.isEmpty()) {
            fail();
        } else if (slot.get().age().mayDispatch(endpoints.nanos())) {
            dispatch(slot.get());
        } else {
            slot.get().end(AttemptOutcome.CANCELLED);
            acquireAgain(tries);
        }
    }

    private void acquireAgain(int tries) {
        if (tries < MAX_STALE_SLOTS) {
            acquire(tries + 1);
        } else {
            fail();
        }
    }

    private void dispatch(FuzzSlot slot) {
        if (finished || !claim.map(Claim::mayDispatch).orElse(true)) {
            slot.end(AttemptOutcome.CANCELLED);
            fail();
            return;
        }
        history.record(new Dispatched(id, slot.endpoint().id()));
        new FuzzAttempt(this, slot).start();
    }

    private void fail() {
        if (finished) {
            return;
        }
        if (run == RunStatus.NOT_RUN) {
            claim.ifPresent(Claim::markNotRun);
        } else {
            claim.ifPresent(Claim::markOutcomeUnknown);
        }
        end(Ending.ERROR, run);
    }

    private void end(Ending ending, RunStatus reported) {
        if (finished) {
            return;
        }
        finished = true;
        daemon.removeRequest(this);
        history.record(new RequestEnded(id, ending, reported));
    }
}
