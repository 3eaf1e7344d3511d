package org.dragonflygw.edge.store;

import io.netty.channel.EventLoopGroup;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storenews.ReadIntervals;
import org.dragonflygw.core.storenews.ReadSchedule;
import org.dragonflygw.core.storenews.ReaderSelection;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.StoreCalls;

/** Makes the followers of the two tables that this host reads, with rates that keep the deployment's bounds. */
final class StoreFeeds {
    /** Share of the time for a configuration that the reader's wait for changes takes. */
    private static final double CONFIG_WAIT_SHARE = 0.4;

    /** Share of the time for a configuration after which a host that heard nothing reads itself. */
    private static final double CONFIG_FOLLOWER_SHARE = 0.72;

    /** Share of the time for a leaving endpoint after which the reader reads the list again. */
    private static final double ENDPOINT_READER_SHARE = 0.3;

    /** Share of the time for a leaving endpoint after which a host that heard nothing reads itself. */
    private static final double ENDPOINT_FOLLOWER_SHARE = 0.6;

    /** Share of either time by which each further host reads later. */
    private static final double STAGGER_SHARE = 0.04;

    /** Time for an answer beyond the wait, in milliseconds: the store answers in a few, or slowly in some hundred. */
    private static final long TIMEOUT_MS = 700;

    /** Pause after a failure in milliseconds: calls of the store are charged, also failed ones. */
    private static final long RETRY_MS = 250;

    private final EventLoopGroup group;
    private final SettingsHolder settings;
    private final StoreCalls calls;
    private final EdgeMetrics metrics;
    private final EventLog log;
    private final ReaderSelection duty;

    StoreFeeds(
            EventLoopGroup group,
            SettingsHolder settings,
            StoreCalls calls,
            EdgeMetrics metrics,
            EventLog log,
            ReaderSelection duty) {
        this.group = group;
        this.settings = settings;
        this.calls = calls;
        this.metrics = metrics;
        this.log = log;
        this.duty = duty;
    }

    /** Follows the operator's table. */
    TableFollower configuration(TableListener listener, Runnable afterRead) {
        ReadSchedule pace = new ReadSchedule(duty, this::configurationTimes);
        return follower(new FollowSettings(StoreCalls.OPERATOR_TABLE, pace, TIMEOUT_MS, RETRY_MS), listener, afterRead);
    }

    private ReadIntervals configurationTimes() {
        double boundMs = settings.bounds().configApplyMs();
        return new ReadIntervals(
                0, (long) (boundMs * CONFIG_WAIT_SHARE), (long) (boundMs * CONFIG_FOLLOWER_SHARE), (long)
                        (boundMs * STAGGER_SHARE));
    }

    /** Follows the list of endpoints. */
    TableFollower endpoints(TableListener listener, Runnable afterRead) {
        ReadSchedule pace = new ReadSchedule(duty, this::endpointTimes);
        return follower(new FollowSettings(StoreCalls.ENDPOINT_TABLE, pace, TIMEOUT_MS, RETRY_MS), listener, afterRead);
    }

    private ReadIntervals endpointTimes() {
        double boundMs = settings.bounds().drainMs();
        return new ReadIntervals(
                (long) (boundMs * ENDPOINT_READER_SHARE), 0, (long) (boundMs * ENDPOINT_FOLLOWER_SHARE), (long)
                        (boundMs * STAGGER_SHARE));
    }

    /** Makes this host and the others known to each other. */
    HostDirectory hosts(PeerTable peers) {
        return new HostDirectory(new StoreClient(group, settings, metrics), calls, group.next(), peers, log);
    }

    private TableFollower follower(FollowSettings follow, TableListener listener, Runnable afterRead) {
        StoreClient client = new StoreClient(group, settings, metrics);
        return new TableFollower(follow, calls, client, group.next(), listener, log, afterRead);
    }
}
