package org.dragonflygw.core.exchange;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.retry.RetryDecision;

/**
 * State machine that handles one request of a caller, from its arrival to the end of the response. The machine does no
 * I/O and starts no threads: network and timer events arrive as method calls, and actions go out through
 * {@link ExchangeOutput}. Not thread-safe; all calls must come from one thread.
 *
 * <p>A request that may have run is retried only if its route is repeatable, and is never rejected with a status that
 * implies it has not run. A response to the caller is completed only after the endpoint's response was complete.
 *
 * <p>An attempt at a silent endpoint stays open while another endpoint is asked. The first that brings the caller something
 * goes on, and the others are given up at once; so the response continues in one place only.
 */
public final class Exchange {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Least remaining time, in milliseconds, for which a retry is attempted. */
    private static final long MIN_RETRY_REMAINING_MS = 30;

    /** Reason in the log for keeping a silent attempt: the retry budget of the service is used up. */
    private static final String RETRY_DENIED = "RETRY_DENIED";

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final ExchangeOutput out;
    private final CallerResponse response;
    private final ResponseTimes times = new ResponseTimes();
    private final AttemptCounts attempts;
    private final CrashBlock block;
    private final ExchangeLog log;
    private final RejectionDelay rejectionDelay;
    private final EndpointSearch search;
    private final AttemptOwner owner = new AttemptOwner();

    private final OpenAttempts open = new OpenAttempts();

    /** The endpoint of the latest attempt, or of the one that goes on; for the log; null before the first. */
    private EndpointLoadState endpoint;

    /** The latest complete response that is no success, for the caller if no other attempt succeeds. */
    private Optional<ResponseBuffer> errorResponse = Optional.empty();

    /** Whether an endpoint for one more attempt is being searched for. */
    private boolean searching;

    /** Why a silent attempt was not replaced when this was looked at last; empty before. */
    private String keptReason = "";

    private boolean ended;
    private boolean mayHaveRun;

    /** Whether this host does not read the response; what the endpoint does meanwhile is not known. */
    private boolean outputPaused;

    /** Creates an exchange, which does nothing until {@link #start} is called. */
    public Exchange(ExchangeRequest request, ExchangeContext context, ExchangeOutput out) {
        this.request = request;
        this.context = context;
        this.out = out;
        this.response = new CallerResponse(request.route(), out);
        this.attempts = new AttemptCounts(request.route());
        this.block = new CrashBlock(request, context);
        this.log = new ExchangeLog(request, context.log());
        this.rejectionDelay = new RejectionDelay(context, block);
        this.search = new EndpointSearch(request, context, block, attempts, log, new Found());
    }

    /** Sends the request to an endpoint, or rejects it if no endpoint can serve it. */
    public void start() {
        context.retries().onRequest(request.service().name(), now());
        searching = true;
        search.first();
    }

    /** Whether the exchange has ended. */
    public boolean ended() {
        return ended;
    }

    private void send(Choice choice, long permittedNanos, long now) {
        endpoint = choice.endpoint().orElseThrow();
        log.dispatched(choice, attempts.onSent(endpoint.entry().id()), remainingMs(now), now);
        EndpointAttempt sent =
                new EndpointAttempt(request, context, log, times, response, choice, permittedNanos, now, owner);
        open.add(sent);
        scheduleTimer();
        sent.bind(out.send(
                new Dispatch(
                        endpoint.entry(),
                        remainingMs(now),
                        request.priority(),
                        response.resumeAfter(),
                        choice.cacheSource(),
                        !request.route().repeatable()),
                sent));
    }

    /** Goes on with the response of an attempt and gives up all others. */
    private void goOnWith(EndpointAttempt attempt) {
        endpoint = attempt.endpoint();
        stopSearch();
        long now = now();
        for (EndpointAttempt other : open.removeAllBut(attempt)) {
            countRun(other.supersede(now));
        }
        if (attempt.silent()) {
            log.silent(attempt.endpoint(), "goes on", attempt.silentNanos(now));
            context.silences().onWentOn();
            attempt.onWentOn();
        }
    }

    private void stopSearch() {
        searching = false;
        search.cancel();
    }

    private void countRun(boolean mayHave) {
        if (mayHave) {
            mayHaveRun = true;
            attempts.onExecuted();
        }
    }

    /** A connection that failed after another endpoint was asked counts as a run, so that few endpoints get the request. */
    private void countConnectFailure(EndpointAttempt attempt) {
        if (attempt.silent()) {
            attempts.onExecuted();
        } else {
            attempts.onConnectFailure();
        }
    }

    /** Records where a stream begins, right before its first part goes to the caller; later attempts go on there. */
    private void recordOrigin(EndpointAttempt begins) {
        if (!request.route().streaming()
                || !request.route().resumable()
                || !begins.response().head().isSuccess()) {
            return;
        }
        StreamOrigin begun = new StreamOrigin(
                request.service().name(), begins.endpoint().entry().version());
        search.goOnAt(begun);
        context.origins().onBegun(request.id(), begun);
    }

    /** Whether the next endpoint, if it is full as well, would have to reject the request too and bears few rejections. */
    private boolean isSpared(long now) {
        return context.loads().isBrittle(request.service().name(), now);
    }

    /** Goes on after an attempt that has ended without a response for the caller. */
    private void goOnWithout(EndpointAttempt attempt, RejectReason reason, BooleanSupplier mayRetry) {
        boolean newest = open.remove(attempt);
        if (!newest || searching) {
            scheduleTimer();
        } else if (mayRetry.getAsBoolean()) {
            searchNext();
        } else {
            waitOrFail(reason, 0);
        }
    }

    private void searchNext() {
        searching = true;
        search.next();
    }

    /** Waits on for the silent attempts, and ends the request if there are none. */
    private void waitOrFail(RejectReason reason, long expectedMs) {
        if (open.isEmpty()) {
            refuseOrFail(reason, expectedMs);
            return;
        }
        keepSilent(reason.name(), now());
        scheduleTimer();
    }

    /** Asks another endpoint beside one that is silent, if one can serve and a retry is left. */
    private void replaceIfSilent(long now) {
        if (!mayReplaceIfSilent(now) || now < open.newest().silentFromNanos()) {
            return;
        }
        Choice choice = search.candidate();
        if (choice.endpoint().isEmpty()) {
            keepSilent(RejectReason.of(choice.reason()).name(), now);
            return;
        }
        if (!takeRetry(now)) {
            keepSilent(RETRY_DENIED, now);
            return;
        }
        EndpointAttempt silent = open.newest();
        log.silent(silent.endpoint(), "another endpoint is asked", silent.silentNanos(now));
        context.silences().onReplacing();
        silent.onSilent(now);
        searching = true;
        search.take(choice);
    }

    /** Waits on for a silent attempt, as nobody else can take over now. */
    private void keepSilent(String reason, long now) {
        open.newest().silence().postpone(now);
        if (!reason.equals(keptReason)) {
            keptReason = reason;
            log.kept(open.newest().endpoint(), reason, open.newest().silentNanos(now));
            context.silences().onKept();
        }
    }

    private boolean mayRetry(long now) {
        return !isBlocked()
                && attempts.mayRunAgain(open.size())
                && response.canResume()
                && hasTimeToRetry(now)
                && takeRetry(now);
    }

    private boolean isBlocked() {
        return block.remainingNanos(now()) > 0;
    }

    private boolean hasTimeToRetry(long now) {
        return remainingMs(now) >= MIN_RETRY_REMAINING_MS;
    }

    private boolean takeRetry(long now) {
        RetryDecision decision = context.retries().tryRetry(request.service().name(), now);
        log.retryDecided(decision);
        return decision.granted();
    }

    private void refuseOrFail(RejectReason reason, long expectedMs) {
        if (mayHaveRun || response.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        long remainingMs = remainingMs(now());
        log.refused(reason, expectedMs, remainingMs);
        reject(reason, rejectionDelay.afterMs(reason, expectedMs, remainingMs));
    }

    /** Ends a request that may have run: the caller gets the error of an endpoint if one has answered with one. */
    private void failAfterRun(RejectReason reason) {
        stopSearch();
        if (response.started()) {
            out.abort();
            end("cut", 0);
        } else if (errorResponse.isPresent()) {
            errorResponse.get().complete();
            end("endpoint failed", errorResponse.get().head().status());
        } else {
            reject(reason, 0);
        }
    }

    private void reject(RejectReason reason, long retryAfterMs) {
        out.reject(new Rejection(reason, retryAfterMs));
        end(reason.name(), reason.status());
    }

    /** Called at the time requested through {@link ExchangeOutput#wakeAt}; earlier calls are harmless. */
    public void onTimer() {
        if (ended) {
            return;
        }
        if (open.isEmpty()) {
            search.onTimer();
            return;
        }
        long now = now();
        if (now >= request.expiryNanos()) {
            onTimeout(now);
            return;
        }
        if (!outputPaused) {
            open.checkStalls(now);
        }
        if (now >= open.handoverNanos()) {
            goOnWith(open.newest());
        }
        replaceIfSilent(now);
        if (!ended && !open.isEmpty()) {
            scheduleTimer();
        }
    }

    private boolean mayReplaceIfSilent(long now) {
        return !outputPaused
                && !searching
                && attempts.mayRunAgain(open.size())
                && response.canResume()
                && !isBlocked()
                && remainingMs(now) > request.route().objectiveMs();
    }

    private void onTimeout(long now) {
        open.removeAll().forEach(a -> a.timeOut(now));
        failAfterRun(RejectReason.TIMED_OUT);
    }

    /** Called when the caller reads so slowly that nothing more is to be read from the endpoint for now. */
    public void onOutputPaused() {
        outputPaused = true;
        open.pause();
    }

    /** Called when the endpoint's response can be read again. */
    public void onOutputResumed() {
        outputPaused = false;
        if (!open.isEmpty()) {
            open.resume(now());
            scheduleTimer();
        }
    }

    /** Called when the caller has closed its connection. */
    public void onCallerDisconnected() {
        if (ended) {
            return;
        }
        long now = now();
        open.removeAll().forEach(a -> a.leave(now));
        end("caller left", 0);
    }

    /** Called when the process exits: the request is refused if it was not sent, and fails otherwise. */
    public void onStopping() {
        if (ended) {
            return;
        }
        long now = now();
        for (EndpointAttempt a : open.removeAll()) {
            mayHaveRun |= a.stop(now);
        }
        refuseOrFail(RejectReason.STOPPING, 0);
    }

    /** Returns what the request waits for, for the log. */
    public String waitingFor() {
        if (open.isEmpty()) {
            return "endpoint";
        }
        return response.started() ? "end of response" : "response";
    }

    private void scheduleTimer() {
        long wakeNanos = Math.min(request.expiryNanos(), open.handoverNanos());
        if (mayReplaceIfSilent(now())) {
            wakeNanos = Math.min(wakeNanos, open.newest().silentFromNanos());
        }
        if (!outputPaused) {
            wakeNanos = Math.min(wakeNanos, open.stallNanos());
        }
        out.wakeAt(wakeNanos);
    }

    private void end(String outcome, int status) {
        ended = true;
        stopSearch();
        log.ended(outcome, status, Optional.ofNullable(endpoint), times, now());
    }

    private long remainingMs(long now) {
        return Math.max(0, (request.expiryNanos() - now) / NANOS_PER_MS);
    }

    private long now() {
        return context.clock().nanos();
    }

    private final class AttemptOwner implements EndpointAttempt.Owner {
        @Override
        public boolean mayStillSend(EndpointAttempt attempt) {
            return attempt == open.newest() && search.mayStillSend(attempt.endpoint(), attempt.permittedNanos());
        }

        @Override
        public void onProgress(EndpointAttempt attempt) {
            mayHaveRun = true;
            scheduleTimer();
        }

        @Override
        public void onForwarding(EndpointAttempt attempt) {
            if (searching || open.size() > 1 || attempt.silent()) {
                goOnWith(attempt);
            }
            if (!response.started()) {
                recordOrigin(attempt);
            }
        }

        @Override
        public void onSuccess(EndpointAttempt attempt) {
            goOnWith(attempt);
            open.removeAll();
            attempt.response().complete();
            end("ok", attempt.response().head().status());
        }

        @Override
        public void onRejected(EndpointAttempt attempt) {
            attempts.onRejection();
            long now = now();
            goOnWithout(
                    attempt,
                    RejectReason.ENDPOINT_REJECTED,
                    () -> attempts.mayRetryRejected() && !isSpared(now) && hasTimeToRetry(now) && takeRetry(now));
        }

        @Override
        public void onErrorResponse(EndpointAttempt attempt) {
            countRun(true);
            ResponseHead head = attempt.response().head();
            if (!head.impliesNotExecuted()) {
                errorResponse = Optional.of(attempt.response());
            }
            goOnWithout(attempt, RejectReason.ENDPOINT_FAILED, () -> head.status() >= 500 && mayRetry(now()));
        }

        @Override
        public void onFailed(EndpointAttempt attempt, AttemptFailure cause) {
            long now = now();
            if (cause.isBeforeSending()) {
                countConnectFailure(attempt);
                goOnWithout(attempt, RejectReason.UNREACHABLE, () -> attempts.mayRetryConnect() && hasTimeToRetry(now));
                return;
            }
            countRun(true);
            goOnWithout(attempt, RejectReason.ENDPOINT_FAILED, () -> mayRetry(now));
        }
    }

    private final class Found implements EndpointSearch.Listener {
        @Override
        public void onFound(Choice choice, long permittedNanos) {
            searching = false;
            send(choice, permittedNanos, now());
        }

        @Override
        public void onNotFound(RejectReason reason, long expectedMs) {
            searching = false;
            waitOrFail(reason, expectedMs);
        }

        @Override
        public boolean mayWait() {
            return open.isEmpty() && !mayHaveRun && !response.started();
        }

        @Override
        public void wakeAt(long nanos) {
            out.wakeAt(nanos);
        }
    }
}
