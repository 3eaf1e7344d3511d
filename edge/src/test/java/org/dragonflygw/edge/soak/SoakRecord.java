package org.dragonflygw.edge.soak;

import java.util.List;
import java.util.Map;

/**
 * What callers and endpoints saw in one soak, and which faults were injected. Times are from
 * {@link System#nanoTime()}.
 *
 * @param outcomes results of all attempts
 * @param executions requests that endpoints executed
 * @param arrivals requests that endpoints received, executed or not
 * @param hostFaults faults of each host, including the faults of the link to the store
 * @param plannedStops planned stops and starts of any host, during which almost all guarantees hold
 * @param endpointFaults faults of any endpoint or of the link to an endpoint
 * @param drainedNanos time when each endpoint was marked as draining, by endpoint id
 * @param revokedNanos time when each key was revoked, by key
 * @param faultFreeFromNanos time after which no faults were injected
 */
record SoakRecord(
        List<Outcome> outcomes,
        List<Execution> executions,
        List<Arrival> arrivals,
        List<FaultIntervals> hostFaults,
        FaultIntervals plannedStops,
        FaultIntervals endpointFaults,
        Map<String, Long> drainedNanos,
        Map<String, Long> revokedNanos,
        long faultFreeFromNanos) {}
