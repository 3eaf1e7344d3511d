package org.dragonflygw.core.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;

/** Merges the events of several daemons into one timeline, ordered by hybrid clock readings. */
public final class TimelineMerger {
    private static final Comparator<Event> ORDER =
            Comparator.comparing(Event::at).thenComparing(Event::daemonId);

    private TimelineMerger() {}

    /**
     * Merges lists of events. An event that occurs in several lists is returned once.
     *
     * @param perDaemon events of each daemon, in any order
     * @param limit maximum number of events; the newest are kept
     * @return events, oldest first
     */
    public static List<Event> merge(List<List<Event>> perDaemon, int limit) {
        LinkedHashSet<Event> unique = new LinkedHashSet<>();
        perDaemon.forEach(unique::addAll);
        List<Event> merged = new ArrayList<>(unique);
        merged.sort(ORDER);
        int from = Math.max(0, merged.size() - limit);
        return List.copyOf(merged.subList(from, merged.size()));
    }
}
