package org.dragonflygw.edge.ops;

import org.dragonflygw.core.admission.WaitCounts;
import org.dragonflygw.core.exchange.ExchangeContext;

/** Gauges of what all requests of this process share: retries, crash suspects, waits, silent attempts and origins of streams. */
public final class ExchangeGauges {
    private final ExchangeContext exchanges;

    public ExchangeGauges(ExchangeContext exchanges) {
        this.exchanges = exchanges;
    }

    /** Registers all gauges. */
    public void register(EdgeMetrics metrics) {
        metrics.registerGauge("retries_granted_total", exchanges.retries()::grantedCount);
        metrics.registerGauge("retries_denied_total", exchanges.retries()::deniedCount);
        metrics.registerGauge("silent_attempts_replacing_total", exchanges.silences()::replacing);
        metrics.registerGauge("silent_attempts_kept_total", exchanges.silences()::kept);
        metrics.registerGauge("silent_attempts_went_on_total", exchanges.silences()::wentOn);
        metrics.registerGauge("stream_origins", exchanges.origins()::size);
        metrics.registerGauge("stream_origins_unknown_total", exchanges.origins()::unknownCount);
        registerCrashes(metrics);
        registerWaits(metrics);
    }

    private void registerCrashes(EdgeMetrics metrics) {
        metrics.registerGauge("crash_suspects", exchanges.crashes()::count);
        metrics.registerGauge(
                "crash_suspects_blocked", () -> exchanges.crashes().blockedCount(now()));
        metrics.registerGauge("crashing_parts", exchanges.crashingParts()::count);
        metrics.registerGauge(
                "crashing_parts_blocked", () -> exchanges.crashingParts().blockedCount(now()));
        metrics.registerGauge("crash_lost_prompts_total", exchanges.crashingParts()::lostPromptCount);
    }

    private void registerWaits(EdgeMetrics metrics) {
        WaitCounts counts = exchanges.admission().counts();
        metrics.registerGauge("requests_waiting", exchanges.admission()::waitingCount);
        metrics.registerGauge("waits_started_total", counts::started);
        metrics.registerGauge("waits_served_total", counts::served);
        metrics.registerGauge("waits_refused_total", counts::refused);
        metrics.registerGauge("waits_left_total", counts::left);
    }

    private long now() {
        return exchanges.clock().nanos();
    }
}
