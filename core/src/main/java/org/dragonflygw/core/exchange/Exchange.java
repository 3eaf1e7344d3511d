package org.dragonflygw.core.exchange;

import java.util.Optional;
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
 */
public final class Exchange {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Least remaining time, in milliseconds, for which a retry is attempted. */
    private static final long MIN_RETRY_REMAINING_MS = 30;

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final ExchangeOutput out;
    private final CallerResponse response;
    private final ResponseTimes times = new ResponseTimes();
    private final AttemptCounts attempts;
    private final CrashBlock block;
    private final ExchangeLog log;
    private final EndpointSearch search;
    private final AttemptOwner owner = new AttemptOwner();

    /** The attempt that is open; null while an endpoint is being searched for, and after the end. */
    private EndpointAttempt attempt;

    /** The endpoint of the latest attempt, for the log; null before the first. */
    private EndpointLoadState endpoint;

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
        this.search = new EndpointSearch(request, context, block, attempts, log, new Found());
    }

    /** Sends the request to an endpoint, or rejects it if no endpoint can serve it. */
    public void start() {
        context.retries().onRequest(request.service().name(), now());
        search.first();
    }

    /** Whether the exchange has ended. */
    public boolean ended() {
        return ended;
    }

    private void send(Choice choice, long now) {
        log.dispatched(choice, attempts.nextAttempt(), remainingMs(now), now);
        attempt = new EndpointAttempt(request, context, log, times, response, choice, now, owner);
        endpoint = attempt.endpoint();
        scheduleTimer();
        EndpointAttempt sent = attempt;
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

    /** Right before the first part of the response goes to the caller: later attempts go on where the stream begins. */
    private void recordOrigin(ResponseHead head) {
        if (!request.route().streaming() || !request.route().resumable() || !head.isSuccess()) {
            return;
        }
        StreamOrigin begun =
                new StreamOrigin(request.service().name(), endpoint.entry().version());
        search.goOnAt(begun);
        context.origins().onBegun(request.id(), begun);
    }

    /** Whether the next endpoint, if it is full as well, would have to reject the request too and bears few rejections. */
    private boolean isSpared(long now) {
        return context.loads().isBrittle(request.service().name(), now);
    }

    private void forwardErrorResponse(EndpointAttempt failed) {
        ResponseHead head = failed.response().head();
        if (head.impliesNotExecuted() || response.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        failed.response().complete();
        end("endpoint failed", head.status());
    }

    /** Replaces an attempt that may still be answered; the caller has taken the retry for it. */
    private void replaceSilentAttempt(long now) {
        EndpointAttempt silent = attempt;
        attempt = null;
        silent.giveUpSilent(now);
        onMayHaveRun(silent);
        retryOrFail(RejectReason.ENDPOINT_FAILED, true);
    }

    private void onMayHaveRun(EndpointAttempt ended) {
        mayHaveRun = true;
        attempts.onExecuted(ended.endpoint().entry().id());
    }

    private void retryOrFail(RejectReason reason, boolean allowed) {
        if (!allowed) {
            refuseOrFail(reason, 0);
            return;
        }
        search.next();
    }

    private boolean mayRetry(long now) {
        return !isBlocked() && attempts.mayRunAgain(0) && response.canResume() && hasTimeToRetry(now) && takeRetry(now);
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
        reject(reason, retryAfterMs(reason, expectedMs, remainingMs));
    }

    private long retryAfterMs(RejectReason reason, long expectedMs, long remainingMs) {
        long blockMs = block.remainingNanos(now()) / NANOS_PER_MS;
        if (blockMs > 0) {
            return blockMs;
        }
        if (reason == RejectReason.STREAM_ORIGIN_UNKNOWN) {
            return 0; // It will not be known later either.
        }
        if (reason == RejectReason.BUSY && expectedMs > 0) {
            return context.retryAfterDelays().whenRoomMs(expectedMs, remainingMs);
        }
        return switch (reason) {
            case ENDPOINTS_QUIET, ENDPOINTS_LIMITED, ZONE_EVACUATED ->
                context.retryAfterDelays().afterMs(expectedMs);
            default -> context.retryAfterDelays().nextMs(remainingMs);
        };
    }

    private void failAfterRun(RejectReason reason) {
        if (response.started()) {
            out.abort();
            end("cut", 0);
            return;
        }
        reject(reason, 0);
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
        if (attempt == null) {
            search.onTimer();
            return;
        }
        long now = now();
        if (now >= request.expiryNanos()) {
            onTimeout(now);
            return;
        }
        if (!outputPaused) {
            attempt.checkStall(now);
        }
        if (mayReplaceIfSilent(now) && now >= attempt.silentFromNanos()) {
            if (takeRetry(now)) {
                replaceSilentAttempt(now);
                return;
            }
            attempt.silence().postpone(now);
        }
        scheduleTimer();
    }

    private boolean mayReplaceIfSilent(long now) {
        return !outputPaused
                && attempts.mayRunAgain(1)
                && response.canResume()
                && !isBlocked()
                && remainingMs(now) > request.route().objectiveMs();
    }

    private void onTimeout(long now) {
        attempt.timeOut(now);
        attempt = null;
        failAfterRun(RejectReason.TIMED_OUT);
    }

    /** Called when the caller reads so slowly that nothing more is to be read from the endpoint for now. */
    public void onOutputPaused() {
        outputPaused = true;
        setAutoRead(false);
    }

    /** Called when the endpoint's response can be read again. */
    public void onOutputResumed() {
        outputPaused = false;
        setAutoRead(true);
        if (attempt != null) {
            attempt.silence().restart(now());
            scheduleTimer();
        }
    }

    private void setAutoRead(boolean enabled) {
        if (attempt != null) {
            attempt.setAutoRead(enabled);
        }
    }

    /** Called when the caller has closed its connection. */
    public void onCallerDisconnected() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.leave(now());
            attempt = null;
        }
        end("caller left", 0);
    }

    /** Called when the process exits: the request is refused if it was not sent, and fails otherwise. */
    public void onStopping() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.stop(now());
            attempt = null;
            mayHaveRun = true;
        }
        refuseOrFail(RejectReason.STOPPING, 0);
    }

    /** Returns what the request waits for, for the log. */
    public String waitingFor() {
        if (attempt == null) {
            return "endpoint";
        }
        return response.started() ? "end of response" : "response";
    }

    private void scheduleTimer() {
        long wakeNanos = request.expiryNanos();
        if (mayReplaceIfSilent(now())) {
            wakeNanos = Math.min(wakeNanos, attempt.silentFromNanos());
        }
        if (!outputPaused) {
            wakeNanos = Math.min(wakeNanos, attempt.stallNanos());
        }
        out.wakeAt(wakeNanos);
    }

    private void end(String outcome, int status) {
        ended = true;
        search.cancel();
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
        public boolean mayStillSend(EndpointAttempt sending) {
            return search.mayStillSend(sending.endpoint());
        }

        @Override
        public void onProgress(EndpointAttempt running) {
            mayHaveRun = true;
            scheduleTimer();
        }

        @Override
        public void onForwarding(EndpointAttempt forwarding) {
            if (!response.started()) {
                recordOrigin(forwarding.response().head());
            }
        }

        @Override
        public void onRejected(EndpointAttempt rejected) {
            attempt = null;
            attempts.onRejection(rejected.endpoint().entry().id());
            long now = now();
            retryOrFail(
                    RejectReason.ENDPOINT_REJECTED,
                    attempts.mayRetryRejected() && !isSpared(now) && hasTimeToRetry(now) && takeRetry(now));
        }

        @Override
        public void onSuccess(EndpointAttempt succeeded) {
            attempt = null;
            succeeded.response().complete();
            end("ok", succeeded.response().head().status());
        }

        @Override
        public void onErrorResponse(EndpointAttempt failed) {
            attempt = null;
            onMayHaveRun(failed);
            if (failed.response().head().status() >= 500 && mayRetry(now())) {
                retryOrFail(RejectReason.ENDPOINT_FAILED, true);
                return;
            }
            forwardErrorResponse(failed);
        }

        @Override
        public void onFailed(EndpointAttempt failed, AttemptFailure cause) {
            attempt = null;
            long now = now();
            if (cause.isBeforeSending()) {
                attempts.onConnectFailure(failed.endpoint().entry().id());
                retryOrFail(RejectReason.UNREACHABLE, attempts.mayRetryConnect() && hasTimeToRetry(now));
                return;
            }
            onMayHaveRun(failed);
            retryOrFail(RejectReason.ENDPOINT_FAILED, mayRetry(now));
        }
    }

    private final class Found implements EndpointSearch.Listener {
        @Override
        public void onFound(Choice choice) {
            send(choice, now());
        }

        @Override
        public void onNotFound(RejectReason reason, long expectedMs) {
            refuseOrFail(reason, expectedMs);
        }

        @Override
        public boolean mayWait() {
            return !mayHaveRun && !response.started();
        }

        @Override
        public void wakeAt(long nanos) {
            out.wakeAt(nanos);
        }
    }
}
