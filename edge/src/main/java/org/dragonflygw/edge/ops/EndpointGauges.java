package org.dragonflygw.edge.ops;

import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.Preference;
import org.dragonflygw.core.lease.MonotonicClock;

/** Gauges of what this host knows of the endpoints and of how it chooses among them. */
public final class EndpointGauges {
    private final EndpointLoads loads;
    private final MonotonicClock clock;

    public EndpointGauges(EndpointLoads loads, MonotonicClock clock) {
        this.loads = loads;
        this.clock = clock;
    }

    /** Registers all gauges. */
    public void register(EdgeMetrics metrics) {
        metrics.registerGauge("services_brittle", () -> loads.brittleCount(clock.nanos()));
        metrics.registerGauge("endpoint_limits", loads.rates()::limitedCount);
        metrics.registerGauge("endpoints_cold", loads.rates()::coldCount);
        metrics.registerGauge("evacuated_zones", loads.evacuated()::count);
        metrics.registerGauge("requests_in_evacuated_zones", loads::requestsInEvacuatedZones);
        metrics.registerGauge("requests_sent_last_resort_total", () -> loads.chosenCount(Preference.LAST_RESORT));
        metrics.registerGauge("requests_sent_avoided_total", () -> loads.chosenCount(Preference.AVOIDED));
        metrics.registerGauge("load_spread_percent", () -> loads.maxSpreadPercent(clock.nanos()));
        metrics.registerGauge("load_knowledge_age_ms", () -> loads.maxKnowledgeAgeMs(clock.nanos()));
    }
}
