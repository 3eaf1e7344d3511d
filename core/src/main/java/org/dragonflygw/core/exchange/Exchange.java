package org.dragonflygw.core.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.ChoiceRequest;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.Unserved;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;

/**
 * One request of a caller from its arrival to the end of its answer, as a state machine without network or threads.
 * Events come in as calls, effects go out through {@link ExchangeOutput}.
 *
 * <p>A request that may have run is never sent again unless it may be repeated, and is never refused in a way that
 * promises it has not run. An answer is only completed when the endpoint's answer was whole.
 */
public final class Exchange {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Connections that may fail for one request before it is refused; each costs a connect timeout. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Attempts that endpoints may reject without running them, for one request. */
    private static final int MAX_REJECTIONS = 2;

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
    private final ExchangeParts parts;
    private final ExchangeOutput out;
    private final Set<String> excluded = new HashSet<>();
    private final AnswerBuffer answer;

    private Phase phase = Phase.CHOOSING;
    private EndpointLoadState endpoint;
    private int uncachedTokens;
    private boolean firstPartSeen;
    private boolean skipAnswer;
    private int runs;
    private int connectFailures;
    private int rejections;
    private boolean mayHaveRun;
    private long attemptNanos;
    private long quietSinceNanos;
    private long firstPartNanos;
    private RunLimit runLimit;

    /** Makes an exchange; {@link #start} begins it. */
    public Exchange(ExchangeRequest request, ExchangeParts parts, ExchangeOutput out) {
        this.request = request;
        this.parts = parts;
        this.out = out;
        this.answer = new AnswerBuffer(request.route(), out);
        this.runLimit = new RunLimit(request.route());
    }

    /** Sends the request or refuses it. */
    public void start() {
        parts.retries().onRequest(request.service().name(), now());
        sendOrRefuse();
    }

    /** Id of the caller's attempt. */
    public String id() {
        return request.id();
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
                request.service(), request.prompt(), request.route().objectiveMs(), remainingMs(now), excluded);
    }

    private static RejectReason reasonOf(Unserved reason) {
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
        parts.log()
                .line(LogTopic.DISPATCH)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("team", request.team())
                .with("endpoint", endpoint.entry().id())
                .with("loadTenths", (long) (endpoint.load(now) * 10))
                .with("promptKey", Long.toHexString(request.prompt().sharedKey()))
                .with("uncachedTokens", uncachedTokens)
                .with(
                        "cacheSource",
                        choice.cacheSource().map(DiscoveredEndpoint::id).orElse(null))
                .with("expectedMs", choice.expectedMs())
                .with("remainingMs", remainingMs(now))
                .with("attempt", runs + rejections + connectFailures + 1)
                .end();
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
    public void onHead(AnswerHead head) {
        if (phase != Phase.SENT) {
            return;
        }
        long now = now();
        head.load().ifPresent(load -> endpoint.onReport(load, now));
        if (head.notExecuted() || head.status() == 421) {
            onRejected(head, now);
            return;
        }
        mayHaveRun = true;
        if (head.success() && (!head.signed() || head.encoded())) {
            onBroken(BreakCause.MALFORMED);
            return;
        }
        quietSinceNanos = now;
        answer.onHead(head);
        if (!head.success()) {
            onFirstPart(now);
        }
        arm();
    }

    private void onRejected(AnswerHead head, long now) {
        skipAnswer = true;
        rejections++;
        endpoint.onFailure(head.status() == 421 ? 4 : 0.5, now);
        logFailure("rejected", head.status(), now);
        endAttempt();
        out.cancel();
        if (head.status() == 421) {
            endpoint.block(now + BLOCK_NANOS);
        }
        resendOrGiveUp(RejectReason.ENDPOINT_REJECTED, false);
    }

    /** A part of the body of the endpoint's answer was read. */
    public void onBody(byte[] body) {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING) || body.length == 0) {
            return;
        }
        long now = now();
        quietSinceNanos = now;
        onFirstPart(now);
        if (!answer.onBody(body)) {
            onBroken(BreakCause.MALFORMED);
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
        endpoint.onRead(uncachedTokens);
    }

    /** The endpoint's answer is whole. */
    public void onComplete() {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING)) {
            return;
        }
        if (!answer.hasHead()) {
            onBroken(BreakCause.MALFORMED);
            return;
        }
        long now = now();
        AnswerHead head = answer.head();
        if (head.success()) {
            endpoint.onSuccess(now);
            endAttempt();
            answer.complete();
            end("ok", head.status());
            return;
        }
        onFailureAnswer(head, now);
    }

    private void onFailureAnswer(AnswerHead head, long now) {
        endpoint.onFailure(head.status() >= 500 ? 1 : 0, now);
        logFailure("failure answer", head.status(), now);
        endAttempt();
        runs++;
        if (head.status() >= 500 && maySendAgain(now)) {
            excluded.add(endpoint.entry().id());
            answer.dropUnsent();
            sendOrPass(head);
            return;
        }
        passFailure(head);
    }

    private void sendOrPass(AnswerHead failure) {
        long now = now();
        Choice choice = parts.chooser().choose(choiceRequest(now), now);
        if (choice.endpoint().isEmpty()) {
            reject(RejectReason.ENDPOINT_FAILED, 0);
            return;
        }
        parts.log()
                .line(LogTopic.ATTEMPT_FAILED)
                .with("request", request.id())
                .with("status", failure.status())
                .with("outcome", "sent again")
                .end();
        send(choice, now);
    }

    private void passFailure(AnswerHead head) {
        if (head.promisesNotRun() || answer.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        answer.complete();
        end("endpoint failed", head.status());
    }

    /** The attempt ended without a whole answer. */
    public void onBroken(BreakCause cause) {
        if (skipAnswer || (phase != Phase.SENT && phase != Phase.PASSING)) {
            return;
        }
        long now = now();
        logFailure(cause.name(), 0, now);
        endAttempt();
        if (cause.beforeSending()) {
            connectFailures++;
            endpoint.onFailure(1, now);
            endpoint.block(now + BLOCK_NANOS);
            resendOrGiveUp(RejectReason.UNREACHABLE, false);
            return;
        }
        out.cancel();
        endpoint.onFailure(cause == BreakCause.SILENT ? 0.7 : 1, now);
        mayHaveRun = true;
        runs++;
        resendOrGiveUp(RejectReason.ENDPOINT_FAILED, true);
    }

    private void resendOrGiveUp(RejectReason reason, boolean ran) {
        long now = now();
        excluded.add(endpoint.entry().id());
        boolean allowed = ran ? maySendAgain(now) : maySendElsewhere(reason, now);
        if (!allowed) {
            giveUp(reason, 0);
            return;
        }
        answer.dropUnsent();
        sendOrRefuse();
    }

    private boolean maySendElsewhere(RejectReason reason, long now) {
        if (remainingMs(now) < MIN_RESEND_MS) {
            return false;
        }
        if (reason == RejectReason.UNREACHABLE) {
            return connectFailures < MAX_CONNECT_FAILURES;
        }
        return rejections < MAX_REJECTIONS && takeRepeat(now);
    }

    private boolean maySendAgain(long now) {
        return request.route().repeatable()
                && answer.resumable()
                && runLimit.allows(runs)
                && remainingMs(now) >= MIN_RESEND_MS
                && takeRepeat(now);
    }

    private boolean takeRepeat(long now) {
        return parts.retries().tryRepeat(request.service().name(), now);
    }

    private void giveUp(RejectReason reason, long expectedMs) {
        if (mayHaveRun || answer.started()) {
            failAfterRun(RejectReason.ENDPOINT_FAILED);
            return;
        }
        long now = now();
        parts.log()
                .line(LogTopic.REFUSE)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("team", request.team())
                .with("reason", reason.name())
                .with("expectedMs", expectedMs)
                .with("remainingMs", remainingMs(now))
                .end();
        reject(reason, parts.returnTimes().afterMs(remainingMs(now)));
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
        if (now >= request.endNanos()) {
            onTimeout(now);
            return;
        }
        if (now >= patienceEndNanos() && mayRetrySilent(now)) {
            onBroken(BreakCause.SILENT);
            return;
        }
        arm();
    }

    private boolean mayRetrySilent(long now) {
        return request.route().repeatable()
                && answer.resumable()
                && runLimit.allows(runs + 1)
                && remainingMs(now) > request.route().objectiveMs();
    }

    private void onTimeout(long now) {
        logFailure("timeout", 0, now);
        endpoint.onFailure(0.5, now);
        endAttempt();
        out.cancel();
        failAfterRun(RejectReason.TIMED_OUT);
    }

    /** The caller has closed its connection. */
    public void onCallerGone() {
        if (phase == Phase.ENDED) {
            return;
        }
        if (phase != Phase.CHOOSING) {
            endAttempt();
            out.cancel();
        }
        end("caller left", 0);
    }

    private void arm() {
        long wake = request.endNanos();
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
            endpoint.onRead(uncachedTokens);
        }
        endpoint.onEnded();
        phase = Phase.CHOOSING;
    }

    private void logFailure(String outcome, int status, long now) {
        parts.log()
                .line(LogTopic.ATTEMPT_FAILED)
                .with("request", request.id())
                .with("endpoint", endpoint.entry().id())
                .with("outcome", outcome)
                .with("status", status)
                .with("attemptMs", (now - attemptNanos) / NANOS_PER_MS)
                .end();
    }

    private void end(String outcome, int status) {
        phase = Phase.ENDED;
        long now = now();
        LogLine line = parts.log()
                .line(LogTopic.END)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("outcome", outcome)
                .with("status", status)
                .with("totalMs", (now - request.arrivedNanos()) / NANOS_PER_MS);
        if (firstPartNanos != 0) {
            line.with("firstPartMs", (firstPartNanos - request.arrivedNanos()) / NANOS_PER_MS);
        }
        Optional.ofNullable(endpoint)
                .ifPresent(e -> line.with("endpoint", e.entry().id()));
        line.end();
    }

    private long remainingMs(long now) {
        return Math.max(0, (request.endNanos() - now) / NANOS_PER_MS);
    }

    private long now() {
        return parts.clock().nanos();
    }
}
