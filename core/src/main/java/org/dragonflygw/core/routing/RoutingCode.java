package org.dragonflygw.core.routing;

import org.dragonflygw.core.error.ErrorCode;

/** Reasons why no slot was granted. In all these cases the request was not run. */
public enum RoutingCode implements ErrorCode {
    /** No rule of the sheet matches. */
    NO_ROUTE,
    /** The service has no endpoint that takes new work. */
    NO_ENDPOINT,
    /** All candidates are at their bound and their queues are full. */
    OVERLOADED,
    /** The answer could not be complete before the deadline. */
    DEADLINE_UNREACHABLE,
    /** The team exceeds its rate limit. */
    TEAM_RATE_EXCEEDED,
    /** The request is quarantined because endpoints were lost while running it. */
    QUARANTINED,
    /** The retry budget is exhausted. */
    RETRY_BUDGET_EXHAUSTED
}
