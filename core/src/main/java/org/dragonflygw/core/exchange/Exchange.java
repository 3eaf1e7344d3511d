package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.SpeedSample;
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

    /**
     * How long an endpoint gets no requests after a failed connection or a response with status 421, in nanoseconds.
     * By then its entry in the store shows whether the endpoint is still there.
     */
    private static final long ENDPOINT_BLOCK_NANOS = 1_500_000_000L;

    private enum Phase {
        CHOOSING,
        SENT,
        FORWARDING,
        ENDED
    }

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final ExchangeOutput out;
    private final ResponseBuffer response;
    private final AttemptCounts attempts;
    private final SilenceTimeout silence;
    private final CrashObserver crashes;
    private final ExchangeLog log;
    private final EndpointSearch search;

    private Phase phase = Phase.CHOOSING;
    private EndpointLoadState endpoint;
    private SpeedSample speed;
    private int uncachedTokens;
    private boolean firstPartSeen;
    private boolean ignoreResponse;
    private boolean mayHaveRun;

    /** Whether this host does not read the response; what the endpoint does meanwhile is not known. */
    private boolean outputPaused;

    private long attemptStartNanos;
    private long attemptFirstPartNanos;
    private long firstPartAtNanos;

    private long longestGapNanos;

    /** Creates an exchange, which does nothing until {@link #start} is called. */
    public Exchange(ExchangeRequest request, ExchangeContext context, ExchangeOutput out) {
        this.request = request;
        this.context = context;
        this.out = out;
        this.response = new ResponseBuffer(request.route(), out, this::onResponseStarting);
        this.attempts = new AttemptCounts(request.route());
        this.silence = new SilenceTimeout(request.route());
        this.crashes = new CrashObserver(request, context);
        this.log = new ExchangeLog(request, context.log());
        this.search = new EndpointSearch(request, context, crashes, attempts, log, new Found());
    }

    /** Sends the request to an endpoint, or rejects it if no endpoint can serve it. */
    public void start() {
        context.retries().onRequest(request.service().name(), now());
        search.first();
    }

    /** Called right before the first part of the response goes to the caller. */
    private void onResponseStarting() {
        if (!request.route().streaming()
                || !request.route().resumable()
                || !response.head().isSuccess()) {
            return;
        }
        StreamOrigin begun =
                new StreamOrigin(request.service().name(), endpoint.entry().version());
        search.goOnAt(begun);
        context.origins().onBegun(request.id(), begun);
    }

    /** Whether the exchange has ended. */
    public boolean ended() {
        return phase == Phase.ENDED;
    }

    private void send(Choice choice, long now) {
        endpoint = choice.endpoint().orElseThrow();
        uncachedTokens = choice.uncachedTokens();
        firstPartSeen = false;
        attemptFirstPartNanos = 0;
        ignoreResponse = false;
        phase = Phase.SENT;
        attemptStartNanos = now;
        crashes.onSent(endpoint.entry(), now);
        silence.restart(now);
        log.dispatched(choice, attempts.nextAttempt(), remainingMs(now), now);
        context.loads().onChosen(choice);
        context.loads().onSent(endpoint, request.prompt(), uncachedTokens, now);
        boolean readsPrompt = request.service().hasModelEngines()
                && choice.cacheSource().isEmpty()
                && response.resumeAfter().isEmpty();
        speed = new SpeedSample(endpoint, readsPrompt, now);
        scheduleTimer();
        out.send(new Dispatch(
                endpoint.entry(),
                remainingMs(now),
                request.priority(),
                response.resumeAfter(),
                choice.cacheSource(),
                !request.route().repeatable()));
    }

    /**
     * Called when the head of the endpoint's response was read. The data plane has checked that the head echoes the id
     * of this request.
     */
    public void onHead(ResponseHead head) {
        if (phase != Phase.SENT) {
            return;
        }
        long now = now();
        crashes.onHeard(now);
        if (!head.isMisdirected()) {
            head.load().ifPresent(load -> endpoint.onLoadReport(load, now));
        }
        context.notices().accept(endpoint.entry(), head, request.id(), attemptStartNanos);
        if (head.notExecuted() || head.isMisdirected()) {
            onRejected(head, now);
            return;
        }
        mayHaveRun = true;
        if (head.isSuccess() && (!head.signed() || head.encoded())) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        silence.restart(now);
        response.setHead(head);
        crashes.onHead(head);
        if (!head.isSuccess()) {
            onFirstPart(now);
        }
        scheduleTimer();
    }

    /**
     * Whether the request may still go to the chosen endpoint; asked when a connection was opened, before anything is
     * sent.
     */
    public boolean mayStillSend() {
        return search.mayStillSend(endpoint);
    }

    private void onRejected(ResponseHead head, long now) {
        ignoreResponse = true;
        attempts.onRejection(endpoint.entry().id());
        endpoint.onFailure(head.rejectionWeight(), now);
        logFailure("rejected", head.status(), now);
        crashes.onClosed();
        endAttempt();
        out.cancelAttempt();
        if (head.isMisdirected()) {
            endpoint.blockUntil(now + ENDPOINT_BLOCK_NANOS);
        }
        retryOrFail(
                RejectReason.ENDPOINT_REJECTED,
                attempts.mayRetryRejected() && !isSpared(now) && hasTimeToRetry(now) && takeRetry(now));
    }

    /** Whether the next endpoint, if it is full as well, would have to reject the request too and bears few rejections. */
    private boolean isSpared(long now) {
        return context.loads().isBrittle(request.service().name(), now);
    }

    /** Called when a part of the body of the endpoint's response was read. */
    public void onBody(byte[] body) {
        if (ignoreResponse || (phase != Phase.SENT && phase != Phase.FORWARDING) || body.length == 0) {
            return;
        }
        long now = now();
        crashes.onHeard(now);
        if (firstPartSeen) {
            longestGapNanos = Math.max(longestGapNanos, now - silence.lastReadNanos());
        }
        boolean first = !firstPartSeen;
        onFirstPart(now);
        crashes.onPart(now);
        if (!response.appendBody(body)) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        if (first || response.progressed()) {
            silence.restart(now);
        }
        if (response.started()) {
            phase = Phase.FORWARDING;
        }
        scheduleTimer();
    }

    private void onFirstPart(long now) {
        if (firstPartSeen) {
            return;
        }
        firstPartSeen = true;
        attemptFirstPartNanos = now;
        if (firstPartAtNanos == 0) {
            firstPartAtNanos = now;
        }
        endpoint.onPromptRead(uncachedTokens);
        if (response.hasHead() && response.head().isSuccess()) {
            speed.onFirstPart(now);
        }
    }

    /** Called when the endpoint's response is complete. */
    public void onComplete() {
        if (ignoreResponse || (phase != Phase.SENT && phase != Phase.FORWARDING)) {
            return;
        }
        if (!response.hasHead()) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        if (!response.mayBeComplete()) {
            onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            return;
        }
        long now = now();
        ResponseHead head = response.head();
        if (head.isSuccess()) {
            endpoint.onSuccess(now);
            crashes.onCompleted(now);
            speed.onComplete(!request.service().hasModelEngines(), now);
            endAttempt();
            response.complete();
            end("ok", head.status());
            return;
        }
        onErrorResponse(head, now);
    }

    private void onErrorResponse(ResponseHead head, long now) {
        endpoint.onFailure(head.status() >= 500 ? 1 : 0, now);
        logFailure("failure answer", head.status(), now);
        crashes.onClosed();
        endAttempt();
        attempts.onExecuted(endpoint.entry().id());
        if (head.status() >= 500 && mayRetry(now)) {
            retryOrFail(RejectReason.ENDPOINT_FAILED, true);
            return;
        }
        forwardErrorResponse(head);
    }

    private void forwardErrorResponse(ResponseHead head) {
        if (head.impliesNotExecuted() || response.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        response.complete();
        end("endpoint failed", head.status());
    }

    /** Called when the current attempt ended without a complete response. */
    public void onAttemptFailed(AttemptFailure cause) {
        if (ignoreResponse || (phase != Phase.SENT && phase != Phase.FORWARDING)) {
            return;
        }
        long now = now();
        logFailure(cause.name(), 0, now);
        endAttempt();
        if (cause.isBeforeSending()) {
            crashes.onClosed();
            attempts.onConnectFailure(endpoint.entry().id());
            endpoint.onFailure(cause.weight(), now);
            if (cause != AttemptFailure.WITHDRAWN) {
                endpoint.blockUntil(now + ENDPOINT_BLOCK_NANOS);
            }
            if (cause == AttemptFailure.CONNECT_REFUSED) {
                context.crashes().onConnectionRefused(endpoint.entry().instanceKey(), now);
            }
            retryOrFail(RejectReason.UNREACHABLE, attempts.mayRetryConnect() && hasTimeToRetry(now));
            return;
        }
        if (cause == AttemptFailure.CONNECTION_LOST) {
            crashes.onConnectionLost(now);
        } else if (cause == AttemptFailure.MALFORMED) {
            crashes.onMalformed(now);
        } else {
            crashes.onUnfinished(now);
        }
        giveUpAttempt(cause, now);
        retryOrFail(RejectReason.ENDPOINT_FAILED, mayRetry(now));
    }

    /** Replaces an attempt that may still be answered; the caller has taken the retry for it. */
    private void replaceSilentAttempt(long now) {
        logFailure(AttemptFailure.SILENT.name(), 0, now);
        abandonAttempt(now);
        crashes.onUnfinished(now);
        giveUpAttempt(AttemptFailure.SILENT, now);
        retryOrFail(RejectReason.ENDPOINT_FAILED, true);
    }

    private void logFailure(String outcome, int status, long now) {
        log.attemptFailed(endpoint, outcome, status, now - attemptStartNanos, crashes.progress());
    }

    private void giveUpAttempt(AttemptFailure cause, long now) {
        out.cancelAttempt();
        endpoint.onFailure(cause.weight(), now);
        mayHaveRun = true;
        attempts.onExecuted(endpoint.entry().id());
    }

    private void retryOrFail(RejectReason reason, boolean allowed) {
        if (!allowed) {
            refuseOrFail(reason, 0);
            return;
        }
        response.discardUnsent();
        search.next();
    }

    private boolean isBlocked() {
        return crashes.blockNanos(now()) > 0;
    }

    private boolean mayRetry(long now) {
        return !isBlocked() && attempts.mayRunAgain(0) && response.canResume() && hasTimeToRetry(now) && takeRetry(now);
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
        long blockMs = crashes.blockNanos(now()) / NANOS_PER_MS;
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
        if (phase == Phase.CHOOSING) {
            search.onTimer();
            return;
        }
        if (phase == Phase.ENDED) {
            return;
        }
        long now = now();
        if (now >= request.expiryNanos()) {
            onTimeout(now);
            return;
        }
        if (!outputPaused) {
            crashes.onTimer(silence.lastReadNanos(), now);
        }
        if (mayReplaceIfSilent(now) && now >= silence.expiryNanos(firstPartSeen)) {
            if (takeRetry(now)) {
                replaceSilentAttempt(now);
                return;
            }
            silence.postpone(now);
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
        logFailure("timeout", 0, now);
        endpoint.onFailure(0.5, now);
        crashes.onUnfinished(now);
        abandonAttempt(now);
        out.cancelAttempt();
        failAfterRun(RejectReason.TIMED_OUT);
    }

    /** Called when the caller reads so slowly that nothing more is read from the endpoint for now. */
    public void onOutputPaused() {
        outputPaused = true;
    }

    /** Called when the endpoint's response is read again. */
    public void onOutputResumed() {
        outputPaused = false;
        if (phase == Phase.SENT || phase == Phase.FORWARDING) {
            silence.restart(now());
            scheduleTimer();
        }
    }

    /** Called when the caller has closed its connection. */
    public void onCallerDisconnected() {
        if (phase == Phase.ENDED) {
            return;
        }
        if (phase != Phase.CHOOSING) {
            long now = now();
            crashes.onCallerLeft(now);
            abandonAttempt(now);
            out.cancelAttempt();
        }
        end("caller left", 0);
    }

    /** Called when the process exits: the request is refused if it was not sent, and fails otherwise. */
    public void onStopping() {
        if (phase == Phase.ENDED) {
            return;
        }
        long now = now();
        if (phase != Phase.CHOOSING) {
            logFailure("process exits", 0, now);
            crashes.onCallerLeft(now);
            endAttempt();
            out.cancelAttempt();
            mayHaveRun = true;
        }
        refuseOrFail(RejectReason.STOPPING, 0);
    }

    /** Returns what the request waits for, for the log. */
    public String waitingFor() {
        return switch (phase) {
            case CHOOSING -> "endpoint";
            case SENT -> "response";
            default -> "end of response";
        };
    }

    private void scheduleTimer() {
        long wakeNanos = request.expiryNanos();
        if (mayReplaceIfSilent(now())) {
            wakeNanos = Math.min(wakeNanos, silence.expiryNanos(firstPartSeen));
        }
        if (!outputPaused) {
            wakeNanos = Math.min(wakeNanos, crashes.stallNanos(silence.lastReadNanos()));
        }
        out.wakeAt(wakeNanos);
    }

    /** Ends an attempt whose endpoint may work on, as it is this host that gives it up. */
    private void abandonAttempt(long now) {
        endpoint.onAbandoned(now);
        endAttempt();
    }

    private void endAttempt() {
        if (!firstPartSeen) {
            firstPartSeen = true;
            endpoint.onPromptRead(uncachedTokens);
        }
        endpoint.onRequestEnded(request.prompt());
        phase = Phase.CHOOSING;
        long firstPartNanos = attemptFirstPartNanos == 0 ? 0 : Math.max(1, attemptFirstPartNanos - attemptStartNanos);
        context.admission()
                .onEnded(request.service(), request.route().name(), firstPartNanos, now() - attemptStartNanos);
    }

    private void end(String outcome, int status) {
        phase = Phase.ENDED;
        search.cancel();
        log.ended(outcome, status, Optional.ofNullable(endpoint), firstPartAtNanos, longestGapNanos, now());
    }

    private long remainingMs(long now) {
        return Math.max(0, (request.expiryNanos() - now) / NANOS_PER_MS);
    }

    private long now() {
        return context.clock().nanos();
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
