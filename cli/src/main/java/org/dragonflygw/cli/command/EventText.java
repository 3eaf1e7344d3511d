package org.dragonflygw.cli.command;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.dragonflygw.core.timeline.Event;
import org.dragonflygw.core.timeline.EventSubject;

/** Formats a timeline event and its parts as text. */
final class EventText {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS", Locale.ROOT).withZone(ZoneOffset.UTC);

    private EventText() {}

    /** One line: time, daemon, type, subject and detail. */
    static String of(Event event) {
        return String.format(
                Locale.ROOT,
                "%s  %-12s %-24s %s%s",
                time(event),
                event.daemonId(),
                event.type().name(),
                subject(event.subject()),
                event.detail().isEmpty() ? "" : "  " + event.detail());
    }

    /** Time of day in UTC; a logical clock above 0 is appended, which orders events of the same millisecond. */
    static String time(Event event) {
        String time = TIME.format(Instant.ofEpochMilli(event.at().physicalMillis()));
        return event.at().logical() == 0 ? time : time + "+" + event.at().logical();
    }

    /** The non-empty fields of the subject as {@code name=value}. */
    static String subject(EventSubject subject) {
        StringBuilder text = new StringBuilder();
        append(text, "request", subject.requestId());
        append(text, "chat", subject.chatId());
        append(text, "endpoint", subject.endpointId());
        append(text, "team", subject.team());
        append(text, "key", subject.key());
        append(text, "lease", subject.lease());
        return text.toString();
    }

    private static void append(StringBuilder text, String name, String value) {
        if (value.isEmpty()) {
            return;
        }
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(name).append('=').append(value);
    }
}
