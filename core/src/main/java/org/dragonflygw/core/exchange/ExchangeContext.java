package org.dragonflygw.core.exchange;

import org.dragonflygw.core.admission.Admission;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.dispatch.EndpointChooser;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.ratelimit.EndpointPermits;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.retry.FleetRetryShare;

/**
 * Objects that all exchanges of a host share.
 *
 * @param chooser chooses the endpoint of each attempt
 * @param loads load of each endpoint
 * @param admission lets requests wait that find all endpoints at capacity
 * @param permits gives permits to send to endpoints that name a limit
 * @param origins knows where streams began that callers take up
 * @param notices applies what endpoints say of themselves
 * @param retries this host's share of the retry budget
 * @param crashes requests that are suspected of crashing endpoints
 * @param crashingParts parts of prompts that are suspected of crashing endpoints
 * @param probe finds out whether an endpoint has ended
 * @param silences counts what became of attempts at silent endpoints
 * @param retryAfterDelays computes the time after which a rejected caller may retry
 * @param log log of decisions
 * @param clock monotonic clock
 */
public record ExchangeContext(
        EndpointChooser chooser,
        EndpointLoads loads,
        Admission admission,
        EndpointPermits permits,
        StreamOrigins origins,
        EndpointNotices notices,
        FleetRetryShare retries,
        CrashSuspects crashes,
        CrashingParts crashingParts,
        EndpointProbe probe,
        SilenceCounts silences,
        RetryAfterDelays retryAfterDelays,
        EventLog log,
        MonotonicClock clock) {}
