package org.dragonflygw.core.exchange;

import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.admission.Admission;
import org.dragonflygw.core.admission.Outlook;
import org.dragonflygw.core.admission.Wait;
import org.dragonflygw.core.admission.WaitRequest;
import org.dragonflygw.core.admission.Waiter;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.ChoiceRequest;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.UnavailableReason;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.resume.OriginDecision;
import org.dragonflygw.core.resume.StreamOrigin;

/**
 * Finds the endpoint of each attempt of one request: where the stream began that the caller takes up, then the choice of an
 * endpoint, which may wait until one has room, then a permit if the endpoint names a limit. Not thread-safe.
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

    /** Stands for the time of a permit where none was needed. */
    static final long NO_PERMIT = Long.MIN_VALUE;

    /** Time after a permit was given within which the request must be sent, in nanoseconds. */
    private static final long MAX_PERMIT_AGE_NANOS = 250_000_000L;

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final CrashBlock block;
    private final AttemptCounts attempts;
    private final ExchangeLog log;
    private final Listener listener;

    /** Where the stream began that the response is part of, once it is known. */
    private Optional<StreamOrigin> origin = Optional.empty();

    /** The wait for room; null if the request does not wait. */
    private Wait wait;

    private int permitDenials;

    /** Number of the search that is under way; answers that belong to an earlier one are ignored. */
    private int round;

    /** Receives the result of a search, before the search's method returns or a moment later. */
    interface Listener {
        /**
         * An endpoint was found; the request must be sent at once.
         *
         * @param permittedNanos when a permit for the endpoint was given, on the monotonic clock, or {@link #NO_PERMIT}
         */
        void onFound(Choice choice, long permittedNanos);

        /**
         * No endpoint can serve the request now.
         *
         * @param expectedMs see {@link Choice#expectedMs}; after a wait the time until room is expected
         */
        void onNotFound(RejectReason reason, long expectedMs);

        /** Whether the request may wait for room: it has certainly not run. */
        boolean mayWait();

        /** Requests a call of {@link EndpointSearch#onTimer} at a time of the monotonic clock. */
        void wakeAt(long nanos);
    }

    EndpointSearch(
            ExchangeRequest request,
            ExchangeContext context,
            CrashBlock block,
            AttemptCounts attempts,
            ExchangeLog log,
            Listener listener) {
        this.request = request;
        this.context = context;
        this.block = block;
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
        int asked = ++round;
        context.origins()
                .find(
                        resumption.get().originAttempt(),
                        request.service().name(),
                        decision -> onOriginDecided(decision, asked));
    }

    private void onOriginDecided(OriginDecision decision, int asked) {
        if (asked != round) {
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
        Optional<RejectReason> blocked = block.reason(now);
        if (blocked.isPresent()) {
            listener.onNotFound(blocked.get(), 0);
            return;
        }
        Choice choice = choose(now);
        if (mustWait(choice)) {
            context.admission().join(waitRequest(), new RoomWaiter()).ifPresent(w -> wait = w);
            return;
        }
        take(choice);
    }

    /** Returns the choice of an endpoint for one more attempt now; the search begins only when it is taken. */
    Choice candidate() {
        return choose(context.clock().nanos());
    }

    private boolean mustWait(Choice choice) {
        Admission admission = context.admission();
        if (!admission.isEnabled() || !listener.mayWait()) {
            return false;
        }
        return choice.reason() == UnavailableReason.BUSY
                || (choice.endpoint().isPresent()
                        && admission.isShort(request.service().name()));
    }

    /** Finds the endpoint of the next attempt, beginning with a choice. */
    void take(Choice choice) {
        if (choice.endpoint().isEmpty()) {
            listener.onNotFound(RejectReason.of(choice.reason()), choice.expectedMs());
            return;
        }
        EndpointLoadState chosen = choice.endpoint().get();
        if (chosen.rate().isLimited()) {
            int asked = ++round;
            context.permits().acquire(chosen.entry(), decision -> onPermitDecided(choice, decision, asked));
            return;
        }
        listener.onFound(choice, NO_PERMIT);
    }

    private WaitRequest waitRequest() {
        return new WaitRequest(
                request.id(),
                request.service(),
                request.route().name(),
                request.team(),
                request.priority(),
                request.arrivedNanos(),
                request.expiryNanos(),
                request.route().objectiveMs(),
                request.deadlineMs(),
                request.prompt().inputTokens(),
                request.prompt().sharedKey(),
                request.fingerprint(),
                origin.isPresent() || !attempts.triedEndpoints().isEmpty());
    }

    /** Called at the time that was requested through {@link Listener#wakeAt}, or earlier. */
    void onTimer() {
        if (wait != null) {
            context.admission().onWake(wait);
        }
    }

    /** Chooses an endpoint; after denials of permits a cold endpoint is tried some times more if no other can serve. */
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
                attempts.triedEndpoints(),
                avoidedEndpoints(),
                limitedEndpoints,
                origin);
    }

    /** A stream that may be taken up should begin at a version that the store names. */
    private Set<String> avoidedEndpoints() {
        boolean begins = request.route().streaming() && request.route().resumable() && origin.isEmpty();
        return begins ? context.origins().unnamedEndpoints(request.service().name()) : Set.of();
    }

    private void onPermitDecided(Choice choice, PermitDecision decision, int asked) {
        if (asked != round) {
            return;
        }
        EndpointLoadState chosen = choice.endpoint().orElseThrow();
        log.permitDecided(chosen, decision);
        if (!decision.granted() || !acceptsRequests(chosen)) {
            permitDenials++;
            next();
            return;
        }
        listener.onFound(choice, context.clock().nanos());
    }

    /** Ends the search because its result is not needed any more. */
    void cancel() {
        round++;
        if (wait != null) {
            context.admission().leave(wait);
            wait = null;
        }
    }

    /** Requires that later attempts go on with a stream where it began. */
    void goOnAt(StreamOrigin begun) {
        origin = Optional.of(begun);
    }

    /** Whether the request may still be sent to an endpoint that was found, with the permit that it had then. */
    boolean mayStillSend(EndpointLoadState endpoint, long permittedNanos) {
        return acceptsRequests(endpoint)
                && (isValid(permittedNanos) || !endpoint.rate().isLimited())
                && (origin.isEmpty() || hasVersionOfEntry(endpoint));
    }

    private boolean isValid(long permittedNanos) {
        return permittedNanos != NO_PERMIT && context.clock().nanos() - permittedNanos <= MAX_PERMIT_AGE_NANOS;
    }

    private boolean acceptsRequests(EndpointLoadState endpoint) {
        long now = context.clock().nanos();
        return block.remainingNanos(now) == 0
                && !context.loads().isEvacuated(endpoint)
                && !endpoint.isLeaving()
                && endpoint.quietNanos(now) == 0;
    }

    /** Whether the list still has the instance, and no sign shows that another one has taken its place. */
    private boolean hasVersionOfEntry(EndpointLoadState endpoint) {
        return !endpoint.mayHaveRestarted(context.clock().nanos()) && isCurrent(endpoint);
    }

    private boolean isCurrent(EndpointLoadState endpoint) {
        return context.loads()
                .get(endpoint.entry().id())
                .filter(known -> known == endpoint)
                .isPresent();
    }

    /** The request while it waits for room. */
    private final class RoomWaiter implements Waiter {
        private Optional<RejectReason> blocked = Optional.empty();
        private Choice found;

        @Override
        public Outlook look(long nowNanos) {
            blocked = block.reason(nowNanos);
            if (blocked.isPresent()) {
                return Outlook.UNSERVABLE;
            }
            found = choose(nowNanos);
            if (found.endpoint().isPresent()) {
                return Outlook.ROOM;
            }
            return found.reason() == UnavailableReason.BUSY ? Outlook.BUSY : Outlook.UNSERVABLE;
        }

        @Override
        public void proceed() {
            wait = null;
            if (blocked.isPresent()) {
                listener.onNotFound(blocked.get(), 0);
                return;
            }
            take(found);
        }

        @Override
        public void refuse(long expectedMs) {
            wait = null;
            listener.onNotFound(RejectReason.BUSY, expectedMs);
        }

        @Override
        public void wakeAt(long nanos) {
            listener.wakeAt(nanos);
        }
    }
}
