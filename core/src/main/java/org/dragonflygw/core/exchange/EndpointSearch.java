package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.ChoiceRequest;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.resume.OriginDecision;
import org.dragonflygw.core.resume.StreamOrigin;

/**
 * Finds the endpoint of each attempt of one request: where the stream began that the caller takes up, then the choice of an
 * endpoint, then a permit if the endpoint names a limit. Each step may wait for other hosts. Not thread-safe.
 */
final class EndpointSearch {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Endpoints with a limit that may deny a permit before only the others are considered. */
    private static final int MAX_PERMIT_DENIALS = 3;

    /**
     * Cold endpoints that may deny a permit before the request is refused, if there are no others. Where a whole service is
     * cold, three tries leave up to a tenth of the requests without one of the permits that are left.
     */
    private static final int MAX_COLD_DENIALS = 12;

    /** Time after a permit was given within which the request must be sent, in nanoseconds. */
    private static final long MAX_PERMIT_AGE_NANOS = 250_000_000L;

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final CrashObserver crashes;
    private final AttemptCounts attempts;
    private final ExchangeLog log;
    private final Listener listener;

    /** Where the stream began that the response is part of, once it is known. */
    private Optional<StreamOrigin> origin = Optional.empty();

    /** Whether the endpoint found last names a limit and gave a permit. */
    private boolean permitted;

    private long permittedNanos;

    private int permitDenials;
    private boolean cancelled;

    /** Receives the result of a search, before the search's method returns or a moment later. */
    interface Listener {
        /** An endpoint was found; the request must be sent at once. */
        void onFound(Choice choice);

        /**
         * No endpoint can serve the request now.
         *
         * @param expectedMs see {@link Choice#expectedMs}
         */
        void onNotFound(RejectReason reason, long expectedMs);
    }

    EndpointSearch(
            ExchangeRequest request,
            ExchangeContext context,
            CrashObserver crashes,
            AttemptCounts attempts,
            ExchangeLog log,
            Listener listener) {
        this.request = request;
        this.context = context;
        this.crashes = crashes;
        this.attempts = attempts;
        this.log = log;
        this.listener = listener;
    }

    /** Finds the endpoint of the first attempt. */
    void first() {
        Optional<Resumption> resumption = request.resumption();
        if (resumption.isEmpty()) {
            next();
            return;
        }
        context.origins()
                .find(resumption.get().originAttempt(), request.service().name(), this::onOriginDecided);
    }

    private void onOriginDecided(OriginDecision decision) {
        if (cancelled) {
            return;
        }
        log.originDecided(decision);
        if (decision.origin().isEmpty()) {
            listener.onNotFound(RejectReason.STREAM_ORIGIN_UNKNOWN, 0);
            return;
        }
        origin = decision.origin();
        next();
    }

    /** Finds the endpoint of the next attempt. */
    void next() {
        long now = context.clock().nanos();
        Optional<RejectReason> blocked = crashes.blockedReason(now);
        if (blocked.isPresent()) {
            listener.onNotFound(blocked.get(), 0);
            return;
        }
        Choice choice = choose(now);
        if (choice.endpoint().isEmpty()) {
            listener.onNotFound(RejectReason.of(choice.reason()), choice.expectedMs());
            return;
        }
        EndpointLoadState chosen = choice.endpoint().get();
        if (chosen.rate().isLimited()) {
            context.permits().acquire(chosen.entry(), decision -> onPermitDecided(choice, decision));
            return;
        }
        permitted = false;
        listener.onFound(choice);
    }

    private Choice choose(long now) {
        Choice choice = context.chooser().choose(choiceRequest(permitDenials < MAX_PERMIT_DENIALS, now), now);
        if (choice.endpoint().isPresent() || permitDenials < MAX_PERMIT_DENIALS || permitDenials >= MAX_COLD_DENIALS) {
            return choice;
        }
        Choice limited = context.chooser().choose(choiceRequest(true, now), now);
        return limited.endpoint().filter(e -> e.rate().isCold()).isPresent() ? limited : choice;
    }

    private ChoiceRequest choiceRequest(boolean limitedEndpoints, long now) {
        return new ChoiceRequest(
                request.service(),
                request.prompt(),
                request.route().objectiveMs(),
                Math.max(0, (request.expiryNanos() - now) / NANOS_PER_MS),
                attempts.failedEndpoints(),
                limitedEndpoints,
                origin);
    }

    private void onPermitDecided(Choice choice, PermitDecision decision) {
        if (cancelled) {
            return;
        }
        EndpointLoadState chosen = choice.endpoint().orElseThrow();
        log.permitDecided(chosen, decision);
        if (!decision.granted() || !acceptsRequests(chosen)) {
            permitDenials++;
            next();
            return;
        }
        permitted = true;
        permittedNanos = context.clock().nanos();
        listener.onFound(choice);
    }

    /** Ends the search because nobody waits for the response any more. */
    void cancel() {
        cancelled = true;
    }

    /** Requires that later attempts go on with a stream where it began. */
    void goOnAt(StreamOrigin begun) {
        origin = Optional.of(begun);
    }

    /** Whether the request may still be sent to the endpoint that was found. */
    boolean mayStillSend(EndpointLoadState endpoint) {
        return acceptsRequests(endpoint)
                && (hasPermit() || !endpoint.rate().isLimited())
                && (origin.isEmpty() || isCurrent(endpoint));
    }

    private boolean hasPermit() {
        return permitted && context.clock().nanos() - permittedNanos <= MAX_PERMIT_AGE_NANOS;
    }

    private boolean acceptsRequests(EndpointLoadState endpoint) {
        long now = context.clock().nanos();
        return crashes.blockNanos(now) == 0 && !endpoint.isLeaving() && endpoint.quietNanos(now) == 0;
    }

    /** Whether the list still has the instance, so that its software version is the one in its entry. */
    private boolean isCurrent(EndpointLoadState endpoint) {
        return context.loads()
                .get(endpoint.entry().id())
                .filter(known -> known == endpoint)
                .isPresent();
    }
}
