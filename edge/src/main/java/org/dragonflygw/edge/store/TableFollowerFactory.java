package org.dragonflygw.edge.store;

import io.netty.channel.EventLoopGroup;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storenews.ReadIntervals;
import org.dragonflygw.core.storenews.ReadSchedule;
import org.dragonflygw.core.storenews.ReaderSelection;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/** Makes the followers of the two tables that this host reads, with rates that keep the deployment's bounds. */
final class TableFollowerFactory {
    /** Share of the time for a configuration that the reader's wait for changes takes. */
    private static final double CONFIG_LONG_POLL_FRACTION = 0.4;

    /** Share of the time for a configuration after which a host that heard nothing reads itself. */
    private static final double CONFIG_FOLLOWER_MAX_AGE_FRACTION = 0.72;

    /** Share of the time for a leaving endpoint after which the reader reads the list again. */
    private static final double ENDPOINT_READER_MAX_AGE_FRACTION = 0.3;

    /** Share of the time for a leaving endpoint after which a host that heard nothing reads itself. */
    private static final double ENDPOINT_FOLLOWER_MAX_AGE_FRACTION = 0.6;

    /** Share of either time by which each further host reads later. */
    private static final double STAGGER_FRACTION = 0.04;

    /** Time for an answer beyond the wait, in milliseconds: the store answers in a few, or slowly in some hundred. */
    private static final long TIMEOUT_MS = 700;

    /** Pause after a failure in milliseconds: calls of the store are charged, also failed ones. */
    private static final long RETRY_DELAY_MS = 250;

    private final EventLoopGroup group;
    private final SettingsHolder settings;
    private final StoreApiCodec codec;
    private final EdgeMetrics metrics;
    private final EventLog log;
    private final ReaderSelection readerSelection;

    TableFollowerFactory(
            EventLoopGroup group,
            SettingsHolder settings,
            StoreApiCodec calls,
            EdgeMetrics metrics,
            EventLog log,
            ReaderSelection duty) {
        this.group = group;
        this.settings = settings;
        this.codec = calls;
        this.metrics = metrics;
        this.log = log;
        this.readerSelection = duty;
    }

    /** Follows the operator's table. */
    TableFollower configuration(TableListener listener, Runnable afterRead) {
        ReadSchedule pace = new ReadSchedule(readerSelection, this::configurationIntervals);
        return follower(
                new TableFollowerSettings(StoreApiCodec.OPERATOR_TABLE, pace, TIMEOUT_MS, RETRY_DELAY_MS),
                listener,
                afterRead);
    }

    private ReadIntervals configurationIntervals() {
        double boundMs = settings.bounds().configApplyMs();
        return new ReadIntervals(
                0,
                (long) (boundMs * CONFIG_LONG_POLL_FRACTION),
                (long) (boundMs * CONFIG_FOLLOWER_MAX_AGE_FRACTION),
                (long) (boundMs * STAGGER_FRACTION));
    }

    /** Follows the list of endpoints. */
    TableFollower endpoints(TableListener listener, Runnable afterRead) {
        ReadSchedule pace = new ReadSchedule(readerSelection, this::endpointIntervals);
        return follower(
                new TableFollowerSettings(StoreApiCodec.ENDPOINT_TABLE, pace, TIMEOUT_MS, RETRY_DELAY_MS),
                listener,
                afterRead);
    }

    private ReadIntervals endpointIntervals() {
        double boundMs = settings.bounds().drainMs();
        return new ReadIntervals(
                (long) (boundMs * ENDPOINT_READER_MAX_AGE_FRACTION),
                0,
                (long) (boundMs * ENDPOINT_FOLLOWER_MAX_AGE_FRACTION),
                (long) (boundMs * STAGGER_FRACTION));
    }

    /** Makes this host and the others known to each other. */
    PeerDiscovery peerDiscovery(PeerTable peers) {
        return new PeerDiscovery(new StoreClient(group, settings, metrics), codec, group.next(), peers, log);
    }

    private TableFollower follower(TableFollowerSettings follow, TableListener listener, Runnable afterRead) {
        StoreClient client = new StoreClient(group, settings, metrics);
        return new TableFollower(follow, codec, client, group.next(), listener, log, afterRead);
    }
}
