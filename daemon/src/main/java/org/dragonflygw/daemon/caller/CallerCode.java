package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes sent to callers, each with its HTTP status. */
public enum CallerCode implements ErrorCode {
    INVALID_BODY(400),
    INVALID_HEADER(400),
    IDEMPOTENCY_KEY_REQUIRED(400),
    UNKNOWN_KEY(401),
    NO_ROUTE(404),
    NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    BODY_TOO_LARGE(413),
    QUARANTINED(422),
    TEAM_RATE_EXCEEDED(429),
    RETRY_BUDGET_EXHAUSTED(503),
    NO_ENDPOINT(503),
    OVERLOADED(503),
    DEADLINE_UNREACHABLE(503),
    ROUTER_FULL(503),
    NO_CONFIGURATION(503),
    LEDGER_UNAVAILABLE(503),
    LEDGER_OVERLOADED(503),
    KEY_REUSED(422),
    SUBMISSION_IN_PROGRESS(409),
    OUTCOME_UNKNOWN(409),
    ANSWER_NOT_KEPT(409),
    REJECTED_BY_ENDPOINT(422),
    ENDPOINT_UNREACHABLE(502),
    ENDPOINT_FAILED(502),
    ANSWER_LOST(502),
    ANSWER_TOO_LARGE(502),
    INTERNAL(500);

    private final int status;

    CallerCode(int status) {
        this.status = status;
    }

    /** HTTP status of a response with this code. */
    public int status() {
        return status;
    }
}
