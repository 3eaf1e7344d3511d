package org.dragonflygw.wire.codec;

import java.util.HashMap;
import java.util.LinkedHashMap;
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
        List<PartSuspectMessage> begun = encode(report.suspects(), true);
        if (!begun.isEmpty()) {
            message.setPartSuspects(begun);
        }
        List<PartSuspectMessage> unread = encode(report.suspects(), false);
        if (!unread.isEmpty()) {
            message.setUnreadPartSuspects(unread);
        }
        if (!report.sound().isEmpty()) {
            message.setSoundParts(report.sound().stream()
                    .map(s -> new SoundPartMessage(s.part(), s.ageMs()))
                    .toList());
        }
    }

    static PartReport decode(HostReportMessage m) {
        return new PartReport(
                decode(m.getPartSuspects(), m.getUnreadPartSuspects()),
                m.isSetSoundParts()
                        ? m.getSoundParts().stream()
                                .map(s -> new SoundPart(s.getPart(), Math.max(0, s.getAgeMillis())))
                                .toList()
                        : List.of());
    }

    /**
     * Encodes the losses of one kind; parts without such losses are left out.
     *
     * @param begun whether to encode the losses of responses that were beginning, or those of which nothing was read
     */
    static List<PartSuspectMessage> encode(List<PartSuspect> suspects, boolean begun) {
        return suspects.stream()
                .map(s -> new PartSuspectMessage(s.part(), encodeLosses(s, begun)))
                .filter(m -> !m.getLosses().isEmpty())
                .toList();
    }

    private static List<PartLossMessage> encodeLosses(PartSuspect suspect, boolean begun) {
        return suspect.losses().entrySet().stream()
                .filter(e -> e.getValue().begun() == begun)
                .map(e -> new PartLossMessage(
                                e.getKey(),
                                e.getValue().sentAgeMs(),
                                e.getValue().lostAgeMs())
                        .setChance(e.getValue().chance()))
                .toList();
    }

    /** Decodes the losses of both kinds; null stands for an empty list. */
    static List<PartSuspect> decode(List<PartSuspectMessage> begun, List<PartSuspectMessage> unread) {
        Map<Long, Map<String, PartSuspect.Loss>> byPart = new LinkedHashMap<>();
        addLosses(unread, false, byPart);
        addLosses(begun, true, byPart);
        return byPart.entrySet().stream()
                .map(e -> new PartSuspect(e.getKey(), e.getValue()))
                .toList();
    }

    private static void addLosses(
            List<PartSuspectMessage> suspects, boolean begun, Map<Long, Map<String, PartSuspect.Loss>> to) {
        if (suspects == null) {
            return;
        }
        for (PartSuspectMessage s : suspects) {
            Map<String, PartSuspect.Loss> losses = to.computeIfAbsent(s.getPart(), p -> new HashMap<>());
            s.getLosses().forEach(l -> losses.put(l.getEndpoint(), decode(l, begun)));
        }
    }

    private static PartSuspect.Loss decode(PartLossMessage l, boolean begun) {
        double chance = l.isSetChance() ? Math.max(0, Math.min(1, l.getChance())) : PartSuspect.Loss.ASSUMED_CHANCE;
        return new PartSuspect.Loss(
                Math.max(0, l.getSentAgeMillis()), Math.max(0, l.getLostAgeMillis()), begun, chance);
    }
}
