package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.retry.CrashSuspect;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * What a host tells the others several times a second.
 *
 * @param host its name
 * @param address where it hears reports
 * @param startedMs Unix time of its process' start, in milliseconds
 * @param sequence rises with each report of a process
 * @param uses what it has at endpoints
 * @param holdings prompts that it sent to endpoints lately
 * @param crashes requests that may crash endpoints
 * @param news what it has read of the store
 */
public record HostReport(
        String host,
        HostAddress address,
        long startedMs,
        long sequence,
        List<EndpointUse> uses,
        List<PromptHolding> holdings,
        List<CrashSuspect> crashes,
        StoreNews news) {
    public HostReport {
        uses = List.copyOf(uses);
        holdings = List.copyOf(holdings);
        crashes = List.copyOf(crashes);
    }

    /** The same report without the prompts, for a message that would grow too large. */
    public HostReport withoutHoldings() {
        return new HostReport(host, address, startedMs, sequence, uses, List.of(), crashes, news);
    }

    /** Whether this report was made after another of the same host. */
    public boolean newerThan(HostReport other) {
        return startedMs != other.startedMs ? startedMs > other.startedMs : sequence > other.sequence;
    }
}
