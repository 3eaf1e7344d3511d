package org.dragonflygw.edge.soak;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How far a caller has read a stream.
 *
 * @param originAttempt id of the attempt that brought the first event, empty if none did
 * @param lastEvent number of the last event, 0 if there is none
 */
record StreamPosition(String originAttempt, int lastEvent) {
    static final StreamPosition START = new StreamPosition("", 0);
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: [^\n]*\n\n");

    /** Returns the position after a response, of which only whole events count. */
    StreamPosition after(Outcome o) {
        int last = lastEvent;
        Matcher event = EVENT.matcher(o.body());
        while (event.find()) {
            last = Integer.parseInt(event.group(1));
        }
        boolean brought = last > lastEvent;
        return new StreamPosition(originAttempt.isEmpty() && brought ? o.id() : originAttempt, last);
    }
}
