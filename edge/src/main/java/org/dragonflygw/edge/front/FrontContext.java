package org.dragonflygw.edge.front;

import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.exchange.ExchangeContext;
import org.dragonflygw.core.exchange.RequestResolver;
import org.dragonflygw.core.limits.StartupHold;
import org.dragonflygw.edge.memory.HeaderBudget;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.edge.upstream.EndpointConnectionPool;
import org.dragonflygw.platform.adapter.CallerHeaders;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/**
 * Objects shared by all connections of callers.
 *
 * @param catalogs configuration in force
 * @param resolver finds the route and the team of a request
 * @param startupHold holds requests until this process can route them
 * @param exchanges objects shared by all exchanges
 * @param pool connections to endpoints
 * @param relays passes requests to other hosts
 * @param callerHeaders decodes the headers of callers' requests
 * @param endpointHeaders encodes the headers of requests to endpoints
 * @param headerBudget memory for the heads of all connections
 * @param state open connections and calls, and whether the process is stopping
 * @param metrics counters of this process
 */
public record FrontContext(
        CatalogHolder catalogs,
        RequestResolver resolver,
        StartupHold startupHold,
        ExchangeContext exchanges,
        EndpointConnectionPool pool,
        RelayContext relays,
        CallerHeaders callerHeaders,
        EndpointHeaders endpointHeaders,
        HeaderBudget headerBudget,
        FrontState state,
        EdgeMetrics metrics) {
    /** Returns the same objects for the port that takes requests of other hosts. */
    public FrontContext forIncomingRelays() {
        return new FrontContext(
                catalogs,
                resolver,
                startupHold,
                exchanges,
                pool,
                relays.forIncoming(),
                callerHeaders,
                endpointHeaders,
                headerBudget,
                state,
                metrics);
    }
}
