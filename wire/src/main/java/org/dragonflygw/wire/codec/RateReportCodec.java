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
        return report.notice().isLimited() ? m.setLimit(report.notice().requestsPerSecond()) : m;
    }

    static RateReport decode(EndpointRateMessage m) {
        RateNotice notice = m.isSetLimit() ? RateNotice.limited(m.getLimit()) : RateNotice.UNLIMITED;
        return new RateReport(m.getId(), m.getStartedMillis(), notice, m.getSentAgeMillis(), m.getHeardAgeMillis());
    }
}
