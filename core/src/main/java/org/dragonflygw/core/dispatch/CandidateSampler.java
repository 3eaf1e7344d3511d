package org.dragonflygw.core.dispatch;

import java.util.List;

/** Which endpoints of a plain service are compared for one request. */
public interface CandidateSampler {
    /** The endpoints to compare, at least one of those given. */
    List<EndpointLoadState> sample(List<EndpointLoadState> usable, long nowNanos);
}
