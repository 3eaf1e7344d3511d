package org.dragonflygw.core.dispatch;

import java.util.List;

/** Selects the endpoints of a plain service that are compared for one request. */
public interface CandidateSampler {
    /** Returns the endpoints to compare, which are one or more of the given ones. */
    List<EndpointLoadState> sample(List<EndpointLoadState> usable, long nowNanos);
}
