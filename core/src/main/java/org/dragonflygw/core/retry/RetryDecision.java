package org.dragonflygw.core.retry;

import java.util.OptionalInt;

/**
 * Whether a request may be sent once more, with the figures that decided it.
 *
 * @param granted whether a retry was taken from the budget
 * @param requests requests of the service that this host counts for the budget
 * @param retries retries of the service that this host made in the window before this one
 * @param allowed retries that this host may make in the window
 * @param credit retries that the latest requests allow; without it, the fixed part of the budget is used
 * @param hosts number of hosts that share the fixed part of the budget, empty while it is unknown
 */
public record RetryDecision(
        boolean granted, int requests, int retries, double allowed, double credit, OptionalInt hosts) {}
