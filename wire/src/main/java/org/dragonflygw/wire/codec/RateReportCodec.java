package org.dragonflygw.wire.codec;

import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.wire.hosts.EndpointRateMessage;

/** Converts what hosts tell each other of limits between the core model and Thrift. Thread-safe. */
final class RateReportCodec {
    private RateReportCodec() {}

    static EndpointRateMessage encode(RateReport report) {
        EndpointRateMessage m =
                new EndpointRateMessage(report.endpoint(), report.startedMs(), report.sentAgeMs(), report.heardAgeMs());
        if (report.notice().isLimited()) {
            m.setLimit(report.notice().requestsPerSecond());
        }
        if (report.notice().kind() == RateNotice.Kind.UNREADABLE) {
            m.setUnknown(true);
        }
        return report.coldLeftMs() > 0
                ? m.setColdLeftMillis(report.coldLeftMs()).setColdPerSecond(report.coldPerSecond())
                : m;
    }

    static RateReport decode(EndpointRateMessage m) {
        return new RateReport(
                m.getId(),
                m.getStartedMillis(),
                notice(m),
                m.getSentAgeMillis(),
                m.getHeardAgeMillis(),
                m.isSetColdLeftMillis() ? m.getColdLeftMillis() : 0,
                m.isSetColdPerSecond() ? m.getColdPerSecond() : 0);
    }

    private static RateNotice notice(EndpointRateMessage m) {
        if (m.isSetUnknown() && m.isUnknown()) {
            return RateNotice.UNREADABLE;
        }
        return m.isSetLimit() ? RateNotice.limited(m.getLimit()) : RateNotice.UNLIMITED;
    }
}
