package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * The state that a host sends to its peers several times a second.
 *
 * @param host name of the host
 * @param address address at which the host receives reports
 * @param startedMs Unix time at which the process of the host started, in milliseconds
 * @param sequence number that increases with each report of a process
 * @param uses load of the host on each endpoint
 * @param holdings prompt prefixes that the host sent to endpoints recently
 * @param crashes requests suspected of crashing endpoints
 * @param parts parts of prompts suspected of crashing endpoints
 * @param leaving endpoints that said in a response that they are leaving
 * @param rates limits that endpoints name for all hosts together
 * @param news what the host has read from the store
 */
public record HostReport(
        String host,
        HostAddress address,
        long startedMs,
        long sequence,
        List<EndpointUse> uses,
        List<PromptHolding> holdings,
        CrashReport crashes,
        PartReport parts,
        List<LeavingEndpoint> leaving,
        List<RateReport> rates,
        StoreNews news) {
    public HostReport {
        uses = List.copyOf(uses);
        holdings = List.copyOf(holdings);
        leaving = List.copyOf(leaving);
        rates = List.copyOf(rates);
    }

    /**
     * Returns this report and shorter forms of it, for use when a message would be too large. Each leaves out something more
     * that later reports bring: prompt prefixes, requests of single lost endpoints, limits and parts of prompts, requests
     * under suspicion. The last has the loads, the leaving endpoints and the news of the store.
     */
    public List<HostReport> forms() {
        CrashReport suspects = new CrashReport(crashes.suspects(), List.of(), List.of());
        return List.of(
                this,
                with(List.of(), crashes, parts, rates),
                with(List.of(), suspects, parts, rates),
                with(List.of(), suspects, PartReport.NONE, List.of()),
                with(List.of(), CrashReport.NONE, PartReport.NONE, List.of()));
    }

    /** Returns this report without loads and prompt prefixes, for hosts that get them in sums. */
    public HostReport withoutLoads() {
        return new HostReport(
                host, address, startedMs, sequence, List.of(), List.of(), crashes, parts, leaving, rates, news);
    }

    private HostReport with(
            List<PromptHolding> h, CrashReport crashReport, PartReport partReport, List<RateReport> rateReports) {
        return new HostReport(
                host, address, startedMs, sequence, uses, h, crashReport, partReport, leaving, rateReports, news);
    }

    /** Returns whether this report is newer than another report of the same host. */
    public boolean newerThan(HostReport other) {
        return startedMs != other.startedMs ? startedMs > other.startedMs : sequence > other.sequence;
    }
}
