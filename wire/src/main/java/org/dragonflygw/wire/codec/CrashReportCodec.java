package org.dragonflygw.wire.codec;

import java.util.List;
import java.util.Set;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.crash.EndpointLosses;
import org.dragonflygw.wire.hosts.CrashSuspectMessage;
import org.dragonflygw.wire.hosts.EndpointLossesMessage;
import org.dragonflygw.wire.hosts.HostReportMessage;

/** Converts what hosts tell of requests that may crash endpoints between the core model and Thrift. Thread-safe. */
final class CrashReportCodec {
    private CrashReportCodec() {}

    /** Returns the suspects of a report, which are a required field of the message. */
    static List<CrashSuspectMessage> encodeSuspects(CrashReport report) {
        return report.suspects().stream().map(CrashReportCodec::encode).toList();
    }

    /** Sets the optional fields of a message; what is empty is left out. */
    static void setOptional(HostReportMessage message, CrashReport report) {
        if (!report.cleared().isEmpty()) {
            message.setCleared(report.cleared());
        }
        if (!report.losses().isEmpty()) {
            message.setLosses(
                    report.losses().stream().map(CrashReportCodec::encode).toList());
        }
    }

    static CrashReport decode(HostReportMessage m) {
        return new CrashReport(
                m.getCrashes().stream().map(CrashReportCodec::decode).toList(),
                m.isSetLosses()
                        ? m.getLosses().stream().map(CrashReportCodec::decode).toList()
                        : List.of(),
                m.isSetCleared() ? m.getCleared() : List.of());
    }

    static CrashSuspectMessage encode(CrashSuspect suspect) {
        return new CrashSuspectMessage(suspect.fingerprint(), List.copyOf(suspect.endpoints()))
                .setAgeMillis(suspect.ageMs());
    }

    static CrashSuspect decode(CrashSuspectMessage m) {
        return new CrashSuspect(m.getFingerprint(), Set.copyOf(m.getEndpoints()), Math.max(0, m.getAgeMillis()));
    }

    private static EndpointLossesMessage encode(EndpointLosses losses) {
        return new EndpointLossesMessage(losses.endpoint(), losses.fingerprints(), losses.ageMs());
    }

    private static EndpointLosses decode(EndpointLossesMessage m) {
        return new EndpointLosses(m.getEndpoint(), m.getFingerprints(), Math.max(0, m.getAgeMillis()));
    }
}
