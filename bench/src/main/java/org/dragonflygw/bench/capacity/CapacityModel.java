package org.dragonflygw.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** What each role costs at a size, from the measured slopes. */
final class CapacityModel {
    /** Share of requests that must run at most once. */
    static final double SUBMISSION_SHARE = 0.05;

    /** Reports that a steward reads from each engine, in one second. */
    static final double REPORTS_PER_ENGINE_SECOND = 2;

    /** Bytes of one report and its request. */
    static final double REPORT_BYTES = 600;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double PERCENT = 100;
    private static final double KILOBYTE = 1_000;
    private static final double MEGABYTE = 1_000_000;
    private static final double BYTES_PER_KIB = 1_024;
    private static final double CLAIM_LIFE_SECONDS = 20;
    private static final double TIMELINE_MEGABYTES = 8.4;
    private static final double SECONDS_PER_MINUTE = 60;

    private final Slopes slopes;

    CapacityModel(Slopes slopes) {
        this.slopes = slopes;
    }

    /** All roles, in the order of the page. */
    List<Role> roles() {
        return List.of(entryRouter(), steward(), membership(), configuration(), ledger(), leases(), timeline());
    }

    /** Control traffic that a daemon sends, in kilobytes a second. */
    double controlKilobytes(Scenario scenario) {
        return gossipKilobytes(scenario) + grantKilobytes(scenario) + reportKilobytes(scenario);
    }

    /** Processor time for control, in percent of a core. */
    double controlCorePercent(Scenario scenario) {
        return rankPercent(scenario) + grantPercent(scenario) + gossipPercent(scenario) + eventPercent(scenario);
    }

    /** Memory for control, in megabytes. */
    double controlMegabytes(Scenario scenario) {
        return gossipMegabytes(scenario) + claimMegabytes(scenario) + TIMELINE_MEGABYTES;
    }

    private Role entryRouter() {
        List<CapacityRow> lines = new ArrayList<>();
        lines.add(measured("requests", "1/s", "6,100 / daemons", Scenario::requestsPerDaemon));
        lines.add(measured("tokens relayed", "1/s", "1,500,000 / daemons", Scenario::tokensPerDaemon));
        lines.add(measured(
                "open streams and their threads", "streams", "tokens/s x 0.062 s", Scenario::openStreamsPerDaemon));
        lines.add(measured(
                "processor for requests and tokens",
                "% of a core",
                "requests/s x relay.cpu.per.request + tokens/s x relay.cpu.per.token",
                this::relayPercent));
        lines.add(measured(
                "heap of open streams", "MB", "open streams x relay.heap.per.open.request", this::relayMegabytes));
        lines.add(measured(
                "processor for ranking candidates",
                "% of a core",
                "requests/s x routing.rank.600.engines",
                this::rankPercent));
        return new Role("Entry router", "blocking relay, one thread for each stream; stateless ranking", lines);
    }

    private Role steward() {
        return new Role(
                "Engine steward",
                "one steward for each engine by rendezvous hashing; leased grants; sums over one daemon of each pool",
                List.of(
                        measured("engines", "engines", "engines / daemons", Scenario::enginesPerDaemon),
                        measured(
                                "grant traffic sent",
                                "KB/s",
                                "requests/s x routing.grant.bytes.per.request",
                                this::grantKilobytes),
                        measured(
                                "processor for grants",
                                "% of a core",
                                "requests/s x routing.steward.calls.per.request x routing.grant.and.end",
                                this::grantPercent),
                        assumed(
                                "load reports of own engines",
                                "KB/s",
                                "engines x 2 reports/s x 600 bytes",
                                this::reportKilobytes)));
    }

    private Role membership() {
        return new Role(
                "Membership",
                "push-pull gossip of deltas once a second within a byte budget",
                List.of(
                        measured("gossip sent", "KB/s", "gossip.sent.bytes.400", this::gossipKilobytes),
                        measured("processor without sockets", "% of a core", "gossip.cpu.400", this::gossipPercent),
                        measured("heap of the tables", "MB", "gossip.heap.400", this::gossipMegabytes)));
    }

    private Role configuration() {
        return new Role(
                "Configuration",
                "compare-and-swap of one row; version by gossip; content by digest from peers",
                List.of(
                        measured(
                                "time until all know a version",
                                "s",
                                "gossip.version.rounds.400 x 1 s",
                                scenario -> slopes.value("gossip.version.rounds.400")),
                        assumed(
                                "reads of the version row, whole fleet",
                                "1/s",
                                "capped by the poll interval at 4",
                                scenario -> 4),
                        assumed(
                                "reads of the host list, whole fleet",
                                "1/s",
                                "capped by the poll interval at 40",
                                scenario -> 40)));
    }

    private Role ledger() {
        return new Role(
                "Ledger",
                "conditional insert before and outcome after the dispatch, in grouped transactions",
                List.of(
                        assumed(
                                "submissions, whole fleet",
                                "1/s",
                                "requests/s x 5% that must run at most once",
                                scenario -> submissions(scenario)),
                        assumed(
                                "rows written, whole fleet",
                                "1/s",
                                "submissions/s x ledger.rows.per.submission",
                                scenario -> submissions(scenario) * slopes.value("ledger.rows.per.submission")),
                        assumed(
                                "transactions without grouping across daemons, whole fleet",
                                "1/s",
                                "one for each row: at this rate a daemon has fewer than two rows a second to group",
                                scenario -> submissions(scenario) * slopes.value("ledger.rows.per.submission")),
                        assumed(
                                "heap of open claims",
                                "MB",
                                "submissions/s / daemons x 20 s x ledger.heap.per.open.claim",
                                this::claimMegabytes)));
    }

    private Role leases() {
        return new Role(
                "Leases and orders",
                "one row for each pool, compare-and-swap with fencing numbers; decided in core, not yet run by the daemon",
                List.of(assumed(
                        "writes of leases, whole fleet",
                        "1/s",
                        "29 models, a renewal each 5 s",
                        scenario -> 29 / 5.0)));
    }

    private Role timeline() {
        return new Role(
                "Time line",
                "ring of encoded events in memory, merged on request",
                List.of(
                        measured(
                                "processor for events",
                                "% of a core",
                                "requests/s x timeline.events.per.request x timeline.record.one.thread",
                                this::eventPercent),
                        measured("memory", "MB", "--timeline-bytes", scenario -> TIMELINE_MEGABYTES),
                        measured(
                                "history held",
                                "minutes",
                                "memory / (requests/s x events x timeline.bytes.per.event)",
                                this::historyMinutes)));
    }

    private double relayPercent(Scenario scenario) {
        double millis = scenario.requestsPerDaemon() * slopes.value("relay.cpu.per.request")
                + scenario.tokensPerDaemon() * slopes.value("relay.cpu.per.token");
        return millis / MILLIS_PER_SECOND * PERCENT;
    }

    private double relayMegabytes(Scenario scenario) {
        return scenario.openStreamsPerDaemon() * slopes.value("relay.heap.per.open.request") / MEGABYTE;
    }

    private double rankPercent(Scenario scenario) {
        return percentOfMicros(scenario.requestsPerDaemon() * slopes.value("routing.rank.600.engines"));
    }

    private double grantPercent(Scenario scenario) {
        double calls = scenario.requestsPerDaemon() * slopes.value("routing.steward.calls.per.request");
        return percentOfMicros(calls * slopes.value("routing.grant.and.end"));
    }

    private double grantKilobytes(Scenario scenario) {
        return scenario.requestsPerDaemon() * slopes.value("routing.grant.bytes.per.request") / KILOBYTE;
    }

    private double reportKilobytes(Scenario scenario) {
        return scenario.enginesPerDaemon() * REPORTS_PER_ENGINE_SECOND * REPORT_BYTES / KILOBYTE;
    }

    private double gossipKilobytes(Scenario scenario) {
        return slopes.value("gossip.sent.bytes.400") / KILOBYTE;
    }

    private double gossipPercent(Scenario scenario) {
        return percentOfMicros(slopes.value("gossip.cpu.400"));
    }

    private double gossipMegabytes(Scenario scenario) {
        return slopes.value("gossip.heap.400") * BYTES_PER_KIB / MEGABYTE;
    }

    private static double submissions(Scenario scenario) {
        return scenario.requestsPerSecond() * SUBMISSION_SHARE;
    }

    private double claimMegabytes(Scenario scenario) {
        double open = submissions(scenario) / scenario.daemons() * CLAIM_LIFE_SECONDS;
        return open * slopes.value("ledger.heap.per.open.claim") / MEGABYTE;
    }

    private double eventPercent(Scenario scenario) {
        double events = scenario.requestsPerDaemon() * slopes.value("timeline.events.per.request");
        return percentOfMicros(events * slopes.value("timeline.record.one.thread"));
    }

    private double historyMinutes(Scenario scenario) {
        double bytesPerSecond = scenario.requestsPerDaemon()
                * slopes.value("timeline.events.per.request")
                * slopes.value("timeline.bytes.per.event");
        return TIMELINE_MEGABYTES * MEGABYTE / bytesPerSecond / SECONDS_PER_MINUTE;
    }

    private static double percentOfMicros(double micros) {
        return micros / MICROS_PER_SECOND * PERCENT;
    }

    private static CapacityRow measured(
            String quantity, String unit, String formula, ToDoubleFunction<Scenario> value) {
        return new CapacityRow(quantity, unit, Basis.MEASURED, formula, value);
    }

    private static CapacityRow assumed(String quantity, String unit, String formula, ToDoubleFunction<Scenario> value) {
        return new CapacityRow(quantity, unit, Basis.ASSUMED, formula, value);
    }
}
