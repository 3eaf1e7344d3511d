package org.dragonflygw.core.peers;

import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.storenews.StoreNews;

/** Decides which direct reports hold something that must spread at once. Not thread-safe. */
final class ReportUrgency {
    private StoreNews lastNews = StoreNews.NONE;
    private long urgentRounds;

    /**
     * Returns whether the report of a round is urgent.
     *
     * @param rounds number of rounds until each peer has received one urgent report
     */
    boolean isUrgent(HostReport report, int rounds) {
        if (isOtherState(report.news(), lastNews)) {
            urgentRounds = rounds;
        }
        lastNews = report.news();
        boolean urgent = urgentRounds > 0 || holdsUrgent(report);
        urgentRounds = Math.max(0, urgentRounds - 1);
        return urgent;
    }

    /** Changes that hold for longer than they are told: each peer must get them once. */
    private static boolean isOtherState(StoreNews news, StoreNews last) {
        return news.era() != last.era()
                || news.reachable() != last.reachable()
                || news.configuration().configVersion() != last.configuration().configVersion()
                || news.configuration().rowVersion() != last.configuration().rowVersion();
    }

    private static boolean holdsUrgent(HostReport report) {
        CrashReport crashes = report.crashes();
        PartReport parts = report.parts();
        return !crashes.suspects().isEmpty()
                || !crashes.losses().isEmpty()
                || !crashes.cleared().isEmpty()
                || !parts.suspects().isEmpty()
                || !parts.sound().isEmpty()
                || !report.leaving().isEmpty()
                || !report.rates().isEmpty()
                || !report.news().changes().isEmpty()
                || !report.news().configuration().updates().isEmpty();
    }
}
