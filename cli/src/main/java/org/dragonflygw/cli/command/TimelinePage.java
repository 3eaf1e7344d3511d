package org.dragonflygw.cli.command;

import static j2html.TagCreator.body;
import static j2html.TagCreator.each;
import static j2html.TagCreator.h1;
import static j2html.TagCreator.head;
import static j2html.TagCreator.html;
import static j2html.TagCreator.meta;
import static j2html.TagCreator.p;
import static j2html.TagCreator.rawHtml;
import static j2html.TagCreator.span;
import static j2html.TagCreator.style;
import static j2html.TagCreator.table;
import static j2html.TagCreator.tbody;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.thead;
import static j2html.TagCreator.title;
import static j2html.TagCreator.tr;

import j2html.tags.specialized.TrTag;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.dragonflygw.core.timeline.Event;
import org.dragonflygw.core.timeline.EventType;

/** Renders a timeline as one self-contained HTML page: a row per event, a column per daemon. */
final class TimelinePage {
    private static final String STYLE = "body{font:14px sans-serif;margin:2em;color:#222}"
            + "table{border-collapse:collapse}th,td{padding:3px 10px;text-align:left;vertical-align:top;"
            + "border-bottom:1px solid #ddd}th{background:#f3f3f3;position:sticky;top:0}"
            + ".time{font-family:monospace;white-space:nowrap}.type{font-weight:600}"
            + ".bad{color:#a40000}.detail{color:#555}.note{color:#a40000}";

    private TimelinePage() {}

    /**
     * Renders the page.
     *
     * @param silent one line per daemon that did not answer
     */
    static String render(String heading, List<Event> events, List<String> silent) {
        List<String> daemons = new ArrayList<>(
                new TreeSet<>(events.stream().map(Event::daemonId).toList()));
        return "<!DOCTYPE html>"
                + html(
                                head(
                                        meta().withCharset("utf-8"),
                                        title("Time line: " + heading),
                                        style(rawHtml(STYLE))),
                                body(
                                        h1("Time line: " + heading),
                                        p(events.size() + " events of " + daemons.size() + " daemons, times in UTC"),
                                        each(
                                                silent,
                                                text -> p("No answer from " + text)
                                                        .withClass("note")),
                                        table(
                                                thead(header(daemons)),
                                                tbody(each(events, event -> row(event, daemons))))))
                        .render();
    }

    private static TrTag header(List<String> daemons) {
        return tr(th("time"), each(daemons, daemon -> th(daemon)), th("about"));
    }

    private static TrTag row(Event event, List<String> daemons) {
        String type = isFailure(event.type()) ? "type bad" : "type";
        return tr(
                td(EventText.time(event)).withClass("time"),
                each(
                        daemons,
                        daemon -> daemon.equals(event.daemonId())
                                ? td(
                                        span(event.type().name()).withClass(type),
                                        span(" " + event.detail()).withClass("detail"))
                                : td()),
                td(EventText.subject(event.subject())));
    }

    private static boolean isFailure(EventType type) {
        return switch (type) {
            case REQUEST_REFUSED,
                    REQUEST_FAILED,
                    GRANT_REFUSED,
                    GRANT_EXPIRED,
                    STEWARD_UNREACHABLE,
                    CONNECTION_SILENT,
                    CHUNK_REJECTED,
                    RETRY_DENIED,
                    FINGERPRINT_QUARANTINED,
                    CLAIM_OUTCOME_UNKNOWN,
                    CLAIM_REFUSED,
                    MEMBER_SUSPECTED,
                    MEMBER_DEAD,
                    ENDPOINT_SUSPENDED,
                    ENDPOINT_GONE,
                    SHEET_CONFLICT,
                    LEASE_LOST,
                    ORDER_REFUSED,
                    ORDER_FAILED -> true;
            default -> false;
        };
    }
}
