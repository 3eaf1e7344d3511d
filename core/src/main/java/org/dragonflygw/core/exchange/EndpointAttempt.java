package org.dragonflygw.core.exchange;

import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.SpeedSample;

/**
 * One attempt of an exchange at one endpoint: reads the response, records load, failures and crashes of the endpoint, and
 * tells its owner what happens. The owner decides what follows. Not thread-safe.
 */
final class EndpointAttempt implements AttemptListener {
    /**
     * How long an endpoint gets no requests after a failed connection or a response with status 421, in nanoseconds.
     * By then its entry in the store shows whether the endpoint is still there.
     */
    private static final long ENDPOINT_BLOCK_NANOS = 1_500_000_000L;

    /** What a timeout adds to the failure score of the endpoint, which may only be slow. */
    private static final double TIMEOUT_WEIGHT = 0.5;

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final ExchangeLog log;
    private final Owner owner;
    private final ResponseTimes times;
    private final EndpointLoadState endpoint;
    private final int uncachedTokens;
    private final ResponseBuffer response;
    private final SilenceTimeout silence;
    private final CrashObserver crashes;
    private final SpeedSample speed;
    private final long permittedNanos;
    private final long sentNanos;

    private Attempt handle;

    /** When the head of a success was read; 0 if none was. */
    private long headNanos;

    private long firstPartNanos;

    /** Whether the endpoint was silent for so long that another one was asked. */
    private boolean silent;

    private boolean promptRead;
    private boolean ended;

    /** Receives what happens to an attempt. */
    interface Owner {
        /** Returns whether the request may still be sent, now that a connection to the endpoint was opened. */
        boolean mayStillSend(EndpointAttempt attempt);

        /** A head was accepted, or a part of the body was read; the request runs. */
        void onProgress(EndpointAttempt attempt);

        /** Right before a part of the response is forwarded to the caller. */
        void onForwarding(EndpointAttempt attempt);

        /** The endpoint did not run the request; the attempt has ended. */
        void onRejected(EndpointAttempt attempt);

        /** The response is a complete success, of which the end is still to be forwarded; the attempt has ended. */
        void onSuccess(EndpointAttempt attempt);

        /** The response is complete and is no success; the attempt has ended. */
        void onErrorResponse(EndpointAttempt attempt);

        /** The attempt has ended without a complete response. */
        void onFailed(EndpointAttempt attempt, AttemptFailure cause);
    }

    /**
     * Creates an attempt that is sent now.
     *
     * @param caller the response to the caller, which the response of the endpoint begins or continues
     * @param permittedNanos when a permit for the endpoint was given; {@link EndpointSearch#NO_PERMIT} without one
     */
    EndpointAttempt(
            ExchangeRequest request,
            ExchangeContext context,
            ExchangeLog log,
            ResponseTimes times,
            CallerResponse caller,
            Choice choice,
            long permittedNanos,
            long now,
            Owner owner) {
        this.request = request;
        this.context = context;
        this.log = log;
        this.owner = owner;
        this.times = times;
        this.endpoint = choice.endpoint().orElseThrow();
        this.uncachedTokens = choice.uncachedTokens();
        this.response = new ResponseBuffer(request.route(), caller, () -> owner.onForwarding(this));
        this.silence = new SilenceTimeout(request.route(), now);
        this.crashes = new CrashObserver(request, context, endpoint.entry(), now);
        this.permittedNanos = permittedNanos;
        this.sentNanos = now;
        context.loads().onChosen(choice);
        context.loads().onSent(endpoint, request.prompt(), uncachedTokens, now);
        boolean readsPrompt = request.service().hasModelEngines()
                && choice.cacheSource().isEmpty()
                && caller.resumeAfter().isEmpty();
        this.speed = new SpeedSample(endpoint, readsPrompt, now);
    }

    /** Sets what the attempt is cancelled by. */
    void bind(Attempt newHandle) {
        handle = newHandle;
    }

    EndpointLoadState endpoint() {
        return endpoint;
    }

    ResponseBuffer response() {
        return response;
    }

    SilenceTimeout silence() {
        return silence;
    }

    long permittedNanos() {
        return permittedNanos;
    }

    /** When the head of a success was read, on the monotonic clock; 0 if none was. */
    long headNanos() {
        return headNanos;
    }

    /** Whether the endpoint was silent for so long that another one was asked. */
    boolean silent() {
        return silent;
    }

    private boolean firstPartSeen() {
        return firstPartNanos != 0;
    }

    @Override
    public boolean mayStillSend() {
        return !ended && owner.mayStillSend(this);
    }

    @Override
    public void onHead(ResponseHead head) {
        if (ended || response.hasHead()) {
            return;
        }
        long now = now();
        crashes.onHeard(now);
        if (!head.isMisdirected()) {
            head.load().ifPresent(load -> endpoint.onLoadReport(load, now));
        }
        context.notices().accept(endpoint.entry(), head, request.id(), sentNanos);
        if (head.notExecuted() || head.isMisdirected()) {
            reject(head, now);
            return;
        }
        if (head.isSuccess() && (!head.signed() || head.encoded())) {
            onFailed(AttemptFailure.MALFORMED);
            return;
        }
        silence.restart(now);
        response.setHead(head);
        crashes.onHead(head);
        if (head.isSuccess()) {
            headNanos = now;
        } else {
            onFirstPart(now);
        }
        owner.onProgress(this);
    }

    private void reject(ResponseHead head, long now) {
        endpoint.onFailure(head.rejectionWeight(), now);
        logFailure("rejected", head.status(), now);
        crashes.onClosed();
        end(now);
        cancel();
        if (head.isMisdirected()) {
            endpoint.blockUntil(now + ENDPOINT_BLOCK_NANOS);
        }
        owner.onRejected(this);
    }

    @Override
    public void onBody(byte[] body) {
        if (ended || body.length == 0) {
            return;
        }
        long now = now();
        crashes.onHeard(now);
        boolean first = !firstPartSeen();
        if (!first) {
            times.onGap(now - silence.lastReadNanos());
        }
        onFirstPart(now);
        crashes.onPart(now);
        if (!response.appendBody(body)) {
            onFailed(AttemptFailure.MALFORMED);
            return;
        }
        if (first || response.progressed()) {
            silence.restart(now);
        }
        owner.onProgress(this);
    }

    private void onFirstPart(long now) {
        if (firstPartSeen()) {
            return;
        }
        firstPartNanos = now;
        times.onFirstPart(now);
        readPrompt();
        if (response.hasHead() && response.head().isSuccess()) {
            speed.onFirstPart(now);
        }
    }

    private void readPrompt() {
        if (!promptRead) {
            promptRead = true;
            endpoint.onPromptRead(uncachedTokens);
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        if (!response.hasHead()) {
            onFailed(AttemptFailure.MALFORMED);
            return;
        }
        if (!response.mayBeComplete()) {
            onFailed(AttemptFailure.CONNECTION_LOST);
            return;
        }
        long now = now();
        if (response.head().isSuccess()) {
            onSuccess(now);
        } else {
            onErrorResponse(response.head(), now);
        }
    }

    private void onSuccess(long now) {
        endpoint.onSuccess(now);
        crashes.onCompleted(now);
        speed.onComplete(!request.service().hasModelEngines(), now);
        end(now);
        owner.onSuccess(this);
    }

    private void onErrorResponse(ResponseHead head, long now) {
        endpoint.onFailure(head.status() >= 500 ? 1 : 0, now);
        logFailure("failure answer", head.status(), now);
        crashes.onClosed();
        end(now);
        owner.onErrorResponse(this);
    }

    @Override
    public void onFailed(AttemptFailure cause) {
        if (ended) {
            return;
        }
        long now = now();
        logFailure(cause.name(), 0, now);
        end(now);
        endpoint.onFailure(cause.weight(), now);
        crashes.onFailed(cause, now);
        if (!cause.isBeforeSending()) {
            cancel();
        } else if (cause != AttemptFailure.WITHDRAWN) {
            endpoint.blockUntil(now + ENDPOINT_BLOCK_NANOS);
        }
        owner.onFailed(this, cause);
    }

    /** Records that another endpoint is asked because this one is silent; it may still answer. */
    void onSilent(long now) {
        if (!silent) {
            silent = true;
            endpoint.onFailure(AttemptFailure.SILENT.weight(), now);
            crashes.onSilent(now);
        }
    }

    /** Records that the endpoint, which was silent, goes on with its response. */
    void onWentOn() {
        silent = false;
    }

    /**
     * Gives the attempt up because another one goes on with the response.
     *
     * @return whether the request may have run
     */
    boolean supersede(long now) {
        if (silent) {
            logFailure(AttemptFailure.SILENT.name(), 0, now);
        }
        return leave(now);
    }

    /** Gives the attempt up because the time for the request is over. */
    void timeOut(long now) {
        logFailure("timeout", 0, now);
        endpoint.onFailure(TIMEOUT_WEIGHT, now);
        crashes.onUnfinished(now);
        abandon(now);
    }

    /**
     * Gives the attempt up because the process exits.
     *
     * @return whether the request may have run
     */
    boolean stop(long now) {
        logFailure("process exits", 0, now);
        return leave(now);
    }

    /**
     * Gives the attempt up because nobody waits for its response any more.
     *
     * @return whether the request may have run
     */
    boolean leave(long now) {
        crashes.onCallerLeft(now);
        return abandon(now);
    }

    /** Ends the attempt, whose endpoint may work on, as it is this host that gives it up. */
    private boolean abandon(long now) {
        endpoint.onAbandoned(now);
        end(now);
        return cancel();
    }

    private boolean cancel() {
        return handle != null && handle.cancel();
    }

    private void end(long now) {
        ended = true;
        readPrompt();
        endpoint.onRequestEnded(request.prompt());
        long firstPartAfterNanos = firstPartSeen() ? Math.max(1, firstPartNanos - sentNanos) : 0;
        context.admission().onEnded(request.service(), request.route().name(), firstPartAfterNanos, now - sentNanos);
    }

    /** Reads the response on, or not while the caller reads slowly. */
    void setAutoRead(boolean enabled) {
        if (handle != null) {
            handle.setAutoRead(enabled);
        }
    }

    /** Returns for how long the endpoint has sent nothing that brings the caller something, in nanoseconds. */
    long silentNanos(long now) {
        return now - silence.lastReadNanos();
    }

    /** Returns the monotonic time from which the attempt counts as silent. */
    long silentFromNanos() {
        return silence.expiryNanos(firstPartSeen());
    }

    /** Returns when the response counts as stalled, so that its endpoint may have ended without a reset. */
    long stallNanos() {
        return crashes.stallNanos(silence.lastReadNanos());
    }

    /** Records a stall of the response if it is due. */
    void checkStall(long now) {
        crashes.onTimer(silence.lastReadNanos(), now);
    }

    private void logFailure(String outcome, int status, long now) {
        log.attemptFailed(endpoint, outcome, status, now - sentNanos, crashes.progress());
    }

    private long now() {
        return context.clock().nanos();
    }
}
