package org.dragonflygw.core.exchange;

import org.dragonflygw.core.dispatch.EndpointChooser;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.retry.CrashSuspects;
import org.dragonflygw.core.retry.FleetRetryShare;

/**
 * What all exchanges of a host share.
 *
 * @param chooser chooses endpoints
 * @param loads loads of endpoints
 * @param retries this host's share of the retry budget
 * @param crashes requests that may crash endpoints
 * @param retryAfterDelays says when refused callers may come again
 * @param log decisions are recorded here
 * @param clock monotonic time
 */
public record ExchangeContext(
        EndpointChooser chooser,
        EndpointLoads loads,
        FleetRetryShare retries,
        CrashSuspects crashes,
        RetryAfterDelays retryAfterDelays,
        EventLog log,
        MonotonicClock clock) {}
