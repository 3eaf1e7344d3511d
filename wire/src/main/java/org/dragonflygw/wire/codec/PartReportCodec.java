package org.dragonflygw.wire.codec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.crash.PartSuspect;
import org.dragonflygw.core.crash.SoundPart;
import org.dragonflygw.wire.hosts.HostReportMessage;
import org.dragonflygw.wire.hosts.PartLossMessage;
import org.dragonflygw.wire.hosts.PartSuspectMessage;
import org.dragonflygw.wire.hosts.SoundPartMessage;

/** Converts what hosts tell of parts of prompts that may crash endpoints between the core model and Thrift. Thread-safe. */
final class PartReportCodec {
    private PartReportCodec() {}

    /** Sets the fields of a message; what is empty is left out. */
    static void set(HostReportMessage message, PartReport report) {
        if (!report.suspects().isEmpty()) {
            message.setPartSuspects(encode(report.suspects()));
        }
        if (!report.sound().isEmpty()) {
            message.setSoundParts(report.sound().stream()
                    .map(s -> new SoundPartMessage(s.part(), s.ageMs()))
                    .toList());
        }
    }

    static PartReport decode(HostReportMessage m) {
        return new PartReport(
                m.isSetPartSuspects() ? decode(m.getPartSuspects()) : List.of(),
                m.isSetSoundParts()
                        ? m.getSoundParts().stream()
                                .map(s -> new SoundPart(s.getPart(), Math.max(0, s.getAgeMillis())))
                                .toList()
                        : List.of());
    }

    static List<PartSuspectMessage> encode(List<PartSuspect> suspects) {
        return suspects.stream().map(PartReportCodec::encode).toList();
    }

    static List<PartSuspect> decode(List<PartSuspectMessage> suspects) {
        return suspects.stream().map(PartReportCodec::decode).toList();
    }

    private static PartSuspectMessage encode(PartSuspect suspect) {
        List<PartLossMessage> losses = suspect.losses().entrySet().stream()
                .map(e -> new PartLossMessage(
                        e.getKey(), e.getValue().sentAgeMs(), e.getValue().lostAgeMs()))
                .toList();
        return new PartSuspectMessage(suspect.part(), losses);
    }

    private static PartSuspect decode(PartSuspectMessage m) {
        Map<String, PartSuspect.Loss> losses = new HashMap<>();
        for (PartLossMessage l : m.getLosses()) {
            losses.put(
                    l.getEndpoint(),
                    new PartSuspect.Loss(Math.max(0, l.getSentAgeMillis()), Math.max(0, l.getLostAgeMillis())));
        }
        return new PartSuspect(m.getPart(), losses);
    }
}
