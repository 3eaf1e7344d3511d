package org.dragonflygw.core.routing;

import org.dragonflygw.core.error.ErrorCode;

/** Why no slot could be had. The request was not run in any of these cases. */
public enum RoutingCode implements ErrorCode {
    /** No rule of the sheet matches. */
    NO_ROUTE,
    /** The service has no endpoint that takes new work. */
    NO_ENDPOINT,
    /** All candidates are at their bound and their queues are full. */
    OVERLOADED,
    /** The answer could not arrive before the deadline. */
    DEADLINE_UNREACHABLE,
    /** The team is over its rate. */
    TEAM_RATE_EXCEEDED,
    /** The request crashed endpoints before and is quarantined. */
    QUARANTINED,
    /** The retry budget is used up. */
    RETRY_BUDGET_EXHAUSTED
}
