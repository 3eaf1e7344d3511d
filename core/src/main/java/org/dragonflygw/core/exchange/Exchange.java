package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.ChoiceRequest;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.UnavailableReason;

/**
 * One request of a caller from its arrival to the end of its answer, as a state machine without network or threads.
 * Events come in as calls, effects go out through {@link ExchangeOutput}.
 *
 * <p>A request that may have run is never sent again unless it may be repeated, and is never refused in a way that
 * promises it has not run. An answer is only completed when the endpoint's answer was whole.
 */
public final class Exchange {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Least time left for which sending again makes sense, in milliseconds. */
    private static final long MIN_RESEND_MS = 30;

    /** Patience for the first part of an answer that may be asked for again, as a multiple of the objective. */
    private static final double FIRST_PATIENCE = 2.0;

    /** Patience between events of a stream that may be resumed, as a multiple of the longest good pause. */
    private static final double GAP_PATIENCE = 2.5;

    /** How long an endpoint is left alone after a failed connection, in nanoseconds: until its entry tells more. */
    private static final long BLOCK_NANOS = 1_500_000_000L;

    private enum Phase {
        CHOOSING,
        SENT,
        PASSING,
        ENDED
    }

    private final ExchangeRequest request;
    private final ExchangeContext parts;
    private final ExchangeOutput out;
    private final ResponseBuffer answer;
    private final AttemptCounts tally;
    private final ExchangeLog log;

    private Phase phase = Phase.CHOOSING;
    private EndpointLoadState endpoint;
    private int uncachedTokens;
    private boolean firstPartSeen;
    private boolean skipAnswer;
    private boolean mayHaveRun;
    private long attemptNanos;
    private long quietSinceNanos;
    private long firstPartNanos;
    private long longestGapNanos;

    /** Makes an exchange; {@link #start} begins it. */
    public Exchange(ExchangeRequest request, ExchangeContext parts, ExchangeOutput out) {
        this.request = request;
        this.parts = parts;
        this.out = out;
        this.answer = new ResponseBuffer(request.route(), out);
        this.tally = new AttemptCounts(request.route());
        this.log = new ExchangeLog(request, parts.log());
    }

    /** Sends the request or refuses it. */
    public void start() {
        parts.retries().onRequest(request.service().name(), now());
        if (held() > 0) {
            giveUp(RejectReason.CRASHES_ENDPOINTS, 0);
            return;
        }
        sendOrRefuse();
    }

    /** Whether the exchange has ended. */
    public boolean ended() {
        return phase == Phase.ENDED;
    }

    private void sendOrRefuse() {
        long now = now();
        Choice choice = parts.chooser().choose(choiceRequest(now), now);
        if (choice.endpoint().isEmpty()) {
            giveUp(reasonOf(choice.reason()), choice.expectedMs());
            return;
        }
        send(choice, now);
    }

    private ChoiceRequest choiceRequest(long now) {
        return new ChoiceRequest(
                request.service(),
                request.prompt(),
                request.route().objectiveMs(),
                remainingMs(now),
                tally.failedEndpoints());
    }

    private static RejectReason reasonOf(UnavailableReason reason) {
        return switch (reason) {
            case BUSY -> RejectReason.BUSY;
            case TOO_LATE -> RejectReason.TOO_LATE;
            default -> RejectReason.NO_ENDPOINT;
        };
    }

    private void send(Choice choice, long now) {
        endpoint = choice.endpoint().orElseThrow();
        uncachedTokens = choice.uncachedTokens();
        firstPartSeen = false;
        skipAnswer = false;
        phase = Phase.SENT;
        attemptNanos = now;
        quietSinceNanos = now;
        log.dispatched(choice, tally.nextAttempt(), remainingMs(now), now);
        parts.loads().onSent(endpoint, request.prompt(), uncachedTokens, now);
        arm();
        out.send(new Dispatch(
                endpoint.entry(),
                remainingMs(now),
                request.priority(),
                answer.resumeAfter(),
                choice.cacheSource(),
                !request.route().repeatable()));
    }

    /** The head of the endpoint's answer was read; the data plane has checked that it echoes this request's id. */
    public void onHead(ResponseHead head) {
        if (phase != Phase.SENT) {
            return;
        }
        long now = now();
        head.load().ifPresent(load -> endpoint.onLoadReport(load, now));
        if (head.notExecuted() || head.status() == 421) {
            onRejected(head, now);
            return;
        }
        mayHaveRun = true;
        if (head.isSuccess() && (!head.signed() || head.encoded())) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        quietSinceNanos = now;
        answer.setHead(head);
        if (!head.isSuccess()) {
            onFirstPart(now);
        }
        arm();
    }

    private void onRejected(ResponseHead head, long now) {
        skipAnswer = true;
        tally.onRejection(endpoint.entry().id());
        endpoint.onFailure(head.status() == 421 ? 4 : 0.5, now);
        log.attemptFailed(endpoint, "rejected", head.status(), now - attemptNanos);
        endAttempt();
        out.cancelAttempt();
        if (head.status() == 421) {
            endpoint.blockUntil(now + BLOCK_NANOS);
        }
        resendOrGiveUp(
                RejectReason.ENDPOINT_REJECTED, tally.mayRetryRejected() && hasTimeToResend(now) && takeRepeat(now));
    }

    /** A part of the body of the endpoint's answer was read. */
    public void onBody(byte[] body) {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING) || body.length == 0) {
            return;
        }
        long now = now();
        if (firstPartSeen) {
            longestGapNanos = Math.max(longestGapNanos, now - quietSinceNanos);
        }
        quietSinceNanos = now;
        onFirstPart(now);
        if (!answer.appendBody(body)) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        if (answer.started()) {
            phase = Phase.PASSING;
        }
        arm();
    }

    private void onFirstPart(long now) {
        if (firstPartSeen) {
            return;
        }
        firstPartSeen = true;
        if (firstPartNanos == 0) {
            firstPartNanos = now;
        }
        endpoint.onPromptRead(uncachedTokens);
    }

    /** The endpoint's answer is whole. */
    public void onComplete() {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING)) {
            return;
        }
        if (!answer.hasHead()) {
            onAttemptFailed(AttemptFailure.MALFORMED);
            return;
        }
        long now = now();
        ResponseHead head = answer.head();
        if (head.isSuccess()) {
            endpoint.onSuccess(now);
            parts.crashes().onCompleted(request.fingerprint());
            endAttempt();
            answer.complete();
            end("ok", head.status());
            return;
        }
        onFailureAnswer(head, now);
    }

    private void onFailureAnswer(ResponseHead head, long now) {
        endpoint.onFailure(head.status() >= 500 ? 1 : 0, now);
        log.attemptFailed(endpoint, "failure answer", head.status(), now - attemptNanos);
        endAttempt();
        tally.onExecuted(endpoint.entry().id());
        if (head.status() >= 500 && maySendAgain(now)) {
            resendOrGiveUp(RejectReason.ENDPOINT_FAILED, true);
            return;
        }
        passFailure(head);
    }

    private void passFailure(ResponseHead head) {
        if (head.impliesNotExecuted() || answer.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        answer.complete();
        end("endpoint failed", head.status());
    }

    /** The attempt ended without a whole answer. */
    public void onAttemptFailed(AttemptFailure cause) {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING)) {
            return;
        }
        long now = now();
        log.attemptFailed(endpoint, cause.name(), 0, now - attemptNanos);
        endAttempt();
        if (cause.isBeforeSending()) {
            tally.onConnectFailure(endpoint.entry().id());
            endpoint.onFailure(1, now);
            endpoint.blockUntil(now + BLOCK_NANOS);
            resendOrGiveUp(RejectReason.UNREACHABLE, tally.mayRetryConnect() && hasTimeToResend(now));
            return;
        }
        out.cancelAttempt();
        endpoint.onFailure(cause == AttemptFailure.SILENT ? 0.7 : 1, now);
        if (cause == AttemptFailure.CONNECTION_LOST) {
            parts.crashes()
                    .onConnectionLost(request.fingerprint(), endpoint.entry().id(), now);
        }
        mayHaveRun = true;
        tally.onExecuted(endpoint.entry().id());
        resendOrGiveUp(RejectReason.ENDPOINT_FAILED, maySendAgain(now));
    }

    private void resendOrGiveUp(RejectReason reason, boolean allowed) {
        if (!allowed) {
            giveUp(reason, 0);
            return;
        }
        answer.discardUnsent();
        sendOrRefuse();
    }

    private long held() {
        return parts.crashes().remainingBlockNanos(request.fingerprint(), now());
    }

    private boolean maySendAgain(long now) {
        return held() == 0 && tally.mayRunAgain(0) && answer.canResume() && hasTimeToResend(now) && takeRepeat(now);
    }

    private boolean hasTimeToResend(long now) {
        return remainingMs(now) >= MIN_RESEND_MS;
    }

    private boolean takeRepeat(long now) {
        return parts.retries().tryRetry(request.service().name(), now);
    }

    private void giveUp(RejectReason reason, long expectedMs) {
        if (mayHaveRun || answer.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        long remainingMs = remainingMs(now());
        log.refused(reason, expectedMs, remainingMs);
        long heldMs = held() / NANOS_PER_MS;
        reject(reason, heldMs > 0 ? heldMs : parts.retryAfterDelays().nextMs(remainingMs));
    }

    private void failAfterRun(RejectReason reason) {
        if (answer.started()) {
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

    /** The time asked for by {@link ExchangeOutput#wakeAt} has come. */
    public void onTimer() {
        if (phase == Phase.ENDED) {
            return;
        }
        long now = now();
        if (now >= request.expiryNanos()) {
            onTimeout(now);
            return;
        }
        if (now >= patienceEndNanos() && mayRetrySilent(now)) {
            onAttemptFailed(AttemptFailure.SILENT);
            return;
        }
        arm();
    }

    private boolean mayRetrySilent(long now) {
        return tally.mayRunAgain(1)
                && answer.canResume()
                && remainingMs(now) > request.route().objectiveMs();
    }

    private void onTimeout(long now) {
        log.attemptFailed(endpoint, "timeout", 0, now - attemptNanos);
        endpoint.onFailure(0.5, now);
        endAttempt();
        out.cancelAttempt();
        failAfterRun(RejectReason.TIMED_OUT);
    }

    /** The caller has closed its connection. */
    public void onCallerDisconnected() {
        if (phase == Phase.ENDED) {
            return;
        }
        if (phase != Phase.CHOOSING) {
            endAttempt();
            out.cancelAttempt();
        }
        end("caller left", 0);
    }

    private void arm() {
        long wake = request.expiryNanos();
        if (request.route().repeatable()) {
            wake = Math.min(wake, Math.max(patienceEndNanos(), now() + NANOS_PER_MS));
        }
        out.wakeAt(wake);
    }

    private long patienceEndNanos() {
        double ms = firstPartSeen && request.route().streaming()
                ? GAP_PATIENCE * request.route().maxEventGapMs()
                : FIRST_PATIENCE * request.route().objectiveMs();
        return quietSinceNanos + (long) (ms * NANOS_PER_MS);
    }

    private void endAttempt() {
        if (!firstPartSeen) {
            firstPartSeen = true;
            endpoint.onPromptRead(uncachedTokens);
        }
        endpoint.onRequestEnded();
        phase = Phase.CHOOSING;
    }

    private void end(String outcome, int status) {
        phase = Phase.ENDED;
        log.ended(outcome, status, Optional.ofNullable(endpoint), firstPartNanos, longestGapNanos, now());
    }

    private long remainingMs(long now) {
        return Math.max(0, (request.expiryNanos() - now) / NANOS_PER_MS);
    }

    private long now() {
        return parts.clock().nanos();
    }
}
