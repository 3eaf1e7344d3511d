package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.core.ledger.SubmissionGate;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.retry.RetryPolicy;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.routing.EndpointSelector;
import org.dragonflygw.core.routing.RoutingException;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Runs a validated request until its response begins: claims a non-idempotent request, acquires a slot, dispatches the
 * request, and retries at another endpoint where that is allowed. Thread-safe.
 */
@Singleton
public final class RequestRunner {
    private static final Logger LOG = LogManager.getLogger(RequestRunner.class);
    private static final int MAX_EXPIRED_GRANTS = 3;
    private static final long EXPIRED_RETRY_AFTER_MILLIS = 1_000;

    private final EndpointSelector selector;
    private final RetryPolicy retries;
    private final SubmissionGate gate;
    private final EventRecorder events;
    private final CallerMetrics metrics;

    @Inject
    public RequestRunner(
            EndpointSelector selector,
            RetryPolicy retries,
            SubmissionGate gate,
            EventRecorder events,
            CallerMetrics metrics) {
        this.selector = selector;
        this.retries = retries;
        this.gate = gate;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * Runs a request until its response begins.
     *
     * @throws CallerException when the request is refused or every allowed attempt failed
     */
    CallerResponse run(RequestContext request, AttemptRunner attempts) {
        events.record(
                EventType.REQUEST_RECEIVED,
                subject(request, ""),
                request.service().name());
        try {
            return request.nonIdempotent()
                    ? runOnce(request, attempts)
                    : runClaimed(request, attempts, OptionalClaim.none());
        } catch (CallerException e) {
            EventType type = e.run() == RunStatus.NOT_RUN ? EventType.REQUEST_REFUSED : EventType.REQUEST_FAILED;
            events.record(type, subject(request, ""), e.code().name());
            throw e;
        } catch (RuntimeException e) {
            events.record(
                    EventType.REQUEST_FAILED, subject(request, ""), e.getClass().getSimpleName());
            throw e;
        }
    }

    private CallerResponse runOnce(RequestContext request, AttemptRunner attempts) {
        SubmissionDecision decision = gate.claim(Submission.of(request)).join();
        if (decision instanceof SubmissionDecision.Run run) {
            return runClaimed(request, attempts, OptionalClaim.of(run.claim()));
        }
        if (decision instanceof SubmissionDecision.Replay replay) {
            events.record(EventType.REQUEST_COMPLETED, subject(request, ""), "answer replayed");
            return BufferedResponse.replay(replay.answer());
        }
        SubmissionDecision.Rejected rejected = (SubmissionDecision.Rejected) decision;
        throw new CallerException(
                CallerCode.valueOf(rejected.code().name()),
                rejected.run(),
                rejected.message(),
                rejected.retryAfterMillis(),
                null);
    }

    private CallerResponse runClaimed(RequestContext request, AttemptRunner attempts, OptionalClaim claim) {
        try {
            return runAttempts(request, attempts, claim);
        } catch (CallerException e) {
            claim.fail(e.run());
            throw e;
        } catch (RuntimeException e) {
            claim.fail(RunStatus.UNKNOWN);
            throw e;
        }
    }

    private CallerResponse runAttempts(RequestContext request, AttemptRunner attempts, OptionalClaim claim) {
        Set<String> excluded = new HashSet<>();
        RunStatus run = RunStatus.NOT_RUN;
        for (int attempt = 1; ; attempt++) {
            EndpointGrant grant = acquireUsable(request, excluded, run);
            String endpointId = grant.endpoint().id();
            try {
                events.record(EventType.DISPATCHED, subject(request, endpointId), "attempt " + attempt);
                return attempts.run(request, grant, claim);
            } catch (AttemptException e) {
                grant.end(e.outcome());
                run = e.run() == RunStatus.NOT_RUN ? run : e.run();
                LOG.warn("attempt {} on {} failed: {}", attempt, endpointId, e.getMessage());
                if (!mayRetry(request, e, attempt)) {
                    throw e.toCaller(run);
                }
                excluded.add(endpointId);
            } catch (RuntimeException e) {
                grant.end(AttemptOutcome.FAILED);
                throw e;
            }
        }
    }

    private boolean mayRetry(RequestContext request, AttemptException e, int attempt) {
        boolean notRun = e.run() == RunStatus.NOT_RUN;
        boolean allowed = e.retryable() && retries.tryRetry(request, e.outcome(), notRun, attempt);
        events.record(
                allowed ? EventType.RETRIED : EventType.RETRY_DENIED,
                subject(request, ""),
                "after attempt " + attempt + ": " + e.code().name());
        if (allowed) {
            metrics.retried();
        }
        return allowed;
    }

    /**
     * Acquires a slot that may still be used. A grant that expired on the way, because this process was paused, is
     * given back.
     */
    private EndpointGrant acquireUsable(RequestContext request, Set<String> excluded, RunStatus run) {
        for (int i = 0; i < MAX_EXPIRED_GRANTS; i++) {
            EndpointGrant grant = acquire(request, excluded, run);
            if (grant.mayDispatch()) {
                return grant;
            }
            grant.end(AttemptOutcome.CANCELLED);
        }
        throw new CallerException(
                CallerCode.OVERLOADED, run, "no slot came in time to be used", EXPIRED_RETRY_AFTER_MILLIS, null);
    }

    private EndpointGrant acquire(RequestContext request, Set<String> excluded, RunStatus run) {
        try {
            return selector.acquire(request, Set.copyOf(excluded));
        } catch (RoutingException e) {
            throw CallerException.of(e, run);
        }
    }

    static EventSubject subject(RequestContext request, String endpointId) {
        return new EventSubject(
                request.requestId(),
                request.chatId(),
                endpointId,
                request.team().name(),
                request.idempotencyKey().orElse(""),
                "");
    }
}
