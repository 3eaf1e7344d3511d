package org.dragonflygw.edge.soak;

import java.util.List;
import java.util.Map;

/**
 * All that was seen from outside in one soak.
 *
 * @param outcomes what callers saw
 * @param executions what endpoints ran
 * @param hostFaults disturbances of each host, its links to the store included
 * @param endpointFaults disturbances of any endpoint or its link
 * @param drainedNanos when each leaving endpoint was said to leave
 * @param revokedNanos when each key was taken away
 * @param faultFreeFromNanos from when on nothing is disturbed any more
 */
record SoakRecord(
        List<Outcome> outcomes,
        List<Execution> executions,
        List<FaultIntervals> hostFaults,
        FaultIntervals endpointFaults,
        Map<String, Long> drainedNanos,
        Map<String, Long> revokedNanos,
        long faultFreeFromNanos) {}
