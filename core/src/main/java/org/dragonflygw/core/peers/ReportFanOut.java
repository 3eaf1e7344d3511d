package org.dragonflygw.core.peers;

import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * Decides to how many peers a direct report is sent. While the loads travel as sums, a report without anything that must
 * spread at once goes to few. Not thread-safe.
 */
public final class ReportFanOut {
    /** Number of peers that get a report with urgent content, or with loads. */
    public static final int FULL = 8;

    /** Number of peers that get another report: with it, a host hears the state of the store ten times a second. */
    static final int CALM = 2;

    private StoreNews lastNews = StoreNews.NONE;
    private long urgentRounds;

    /**
     * Returns the number of peers to send a report to.
     *
     * @param inSums whether the loads and prompt prefixes travel as sums
     * @param rounds number of rounds until each peer has received one report, at the full number
     */
    public int peers(HostReport report, boolean inSums, int rounds) {
        if (isOtherState(report.news(), lastNews)) {
            urgentRounds = rounds;
        }
        lastNews = report.news();
        boolean urgent = urgentRounds > 0 || holdsUrgent(report);
        urgentRounds = Math.max(0, urgentRounds - 1);
        return urgent || !inSums ? FULL : CALM;
    }

    /** Changes that hold for longer than they are told: each peer must get them once. */
    private static boolean isOtherState(StoreNews news, StoreNews last) {
        return news.era() != last.era()
                || news.reachable() != last.reachable()
                || news.configuration().configVersion() != last.configuration().configVersion()
                || news.configuration().rowVersion() != last.configuration().rowVersion();
    }

    private static boolean holdsUrgent(HostReport report) {
        return !report.crashes().equals(CrashReport.NONE)
                || !report.parts().equals(PartReport.NONE)
                || !report.leaving().isEmpty()
                || !report.rates().isEmpty()
                || !report.news().changes().isEmpty()
                || !report.news().configuration().updates().isEmpty();
    }
}
