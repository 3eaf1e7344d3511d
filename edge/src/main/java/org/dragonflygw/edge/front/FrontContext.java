package org.dragonflygw.edge.front;

import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.exchange.ExchangeContext;
import org.dragonflygw.core.exchange.RequestResolver;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.edge.upstream.EndpointConnectionPool;
import org.dragonflygw.platform.adapter.CallerHeaders;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/**
 * What all connections of callers share.
 *
 * @param catalogs configuration in force
 * @param resolver finds routes and teams
 * @param exchanges what exchanges share
 * @param pool connections to endpoints
 * @param callerHeaders decodes heads of requests
 * @param endpointHeaders makes heads of requests to endpoints
 * @param state open calls and whether the process stops
 * @param metrics counters
 */
public record FrontContext(
        CatalogHolder catalogs,
        RequestResolver resolver,
        ExchangeContext exchanges,
        EndpointConnectionPool pool,
        CallerHeaders callerHeaders,
        EndpointHeaders endpointHeaders,
        FrontState state,
        EdgeMetrics metrics) {}
