package org.dragonflygw.core.routing;

/** Ranks the endpoints of a service for a request. Safe from every thread. */
public interface CandidateOrder {
    /**
     * Ranks endpoints, best first.
     *
     * @param key what the request shares with others
     * @param table endpoints of the service
     * @param limit greatest number of candidates
     * @return indices into the table, each at most once; fewer than the limit when the table is small
     */
    int[] rank(CandidateKey key, EndpointTable table, int limit);
}
