package org.dragonflygw.edge.store;

import io.netty.channel.EventLoopGroup;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.StoreCalls;

/** Makes the followers of the two tables that this host reads, with rates that keep the deployment's bounds. */
public final class StoreFeeds {
    /** Share of the time for a configuration that a wait for changes may take; a lost connection is found after it. */
    private static final double CONFIG_WAIT_SHARE = 0.6;

    /** Share of the time for a leaving endpoint that passes between reads of the list. */
    private static final double ENDPOINT_PAUSE_SHARE = 0.45;

    /** Time for an answer beyond the wait, in milliseconds: the store answers in a few, or slowly in some hundred. */
    private static final long TIMEOUT_MS = 700;

    /** Pause after a failure in milliseconds: calls of the store are charged, also failed ones. */
    private static final long RETRY_MS = 250;

    private final EventLoopGroup group;
    private final HostSettings settings;
    private final StoreCalls calls;
    private final EdgeMetrics metrics;
    private final EventLog log;

    /** Makes a factory of followers. */
    public StoreFeeds(
            EventLoopGroup group, HostSettings settings, StoreCalls calls, EdgeMetrics metrics, EventLog log) {
        this.group = group;
        this.settings = settings;
        this.calls = calls;
        this.metrics = metrics;
        this.log = log;
    }

    /** Follows the operator's table. */
    public TableFollower configuration(TableListener listener) {
        long waitMs = (long) (settings.bounds().configApplyMs() * CONFIG_WAIT_SHARE);
        return follower(new FollowSettings(StoreCalls.OPERATOR_TABLE, waitMs, 0, TIMEOUT_MS, RETRY_MS), listener);
    }

    /** Follows the list of endpoints. */
    public TableFollower endpoints(TableListener listener) {
        long pauseMs = (long) (settings.bounds().drainMs() * ENDPOINT_PAUSE_SHARE);
        return follower(new FollowSettings(StoreCalls.ENDPOINT_TABLE, 0, pauseMs, TIMEOUT_MS, RETRY_MS), listener);
    }

    /** Makes this host and the others known to each other. */
    public HostDirectory hosts(PeerTable peers) {
        return new HostDirectory(new StoreClient(group, settings.store(), metrics), calls, group.next(), peers, log);
    }

    private TableFollower follower(FollowSettings follow, TableListener listener) {
        StoreClient client = new StoreClient(group, settings.store(), metrics);
        return new TableFollower(follow, calls, client, group.next(), listener, log);
    }
}
