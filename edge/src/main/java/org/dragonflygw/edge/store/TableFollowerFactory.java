package org.dragonflygw.edge.store;

import io.netty.channel.EventLoopGroup;
import java.time.InstantSource;
import org.dragonflygw.core.crash.StoredSuspects;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storenews.GroupReadSchedule;
import org.dragonflygw.core.storenews.LongPollSchedule;
import org.dragonflygw.core.storenews.ReadIntervals;
import org.dragonflygw.core.storenews.ReadSchedule;
import org.dragonflygw.core.storenews.ReaderSelection;
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * Creates the followers of the two tables that this host reads, and the peer discovery. The read intervals are
 * fractions of the deployment's time bounds, so that changes apply within these bounds.
 */
final class TableFollowerFactory {
    /** Long-poll time of the reader, as a fraction of the time within which a configuration must apply. */
    private static final double CONFIG_LONG_POLL_FRACTION = 0.4;

    /** Age at which a host without news reads by itself, as a fraction of the same time. */
    private static final double CONFIG_FOLLOWER_MAX_AGE_FRACTION = 0.72;

    /** Share of the time in which an evacuation must apply that takes the place of a longer time for configurations. */
    private static final double EVACUATION_FRACTION = 0.6;

    /** Age at which the reader reads the endpoints again, as a fraction of the time to drain an endpoint. */
    private static final double ENDPOINT_READER_MAX_AGE_FRACTION = 0.3;

    /** Age at which a host without news reads by itself, as a fraction of the time to drain an endpoint. */
    private static final double ENDPOINT_FOLLOWER_MAX_AGE_FRACTION = 0.6;

    /** Additional delay of each further host of a group, as a fraction of either time. */
    private static final double STAGGER_FRACTION = 0.04;

    /**
     * Response timeout beyond the long-poll time, in milliseconds. The store answers within a few milliseconds, or
     * within some hundred when it is slow.
     */
    private static final long TIMEOUT_MS = 700;

    /** Delay after a failed call, in milliseconds. Calls to the store are charged, failed ones too. */
    private static final long RETRY_DELAY_MS = 250;

    /** Least time between two reads of the suspects, in milliseconds: a fraction of the time in which hosts must agree. */
    private static final long SUSPECTS_MIN_INTERVAL_MS = 1_000;

    /** Long-poll time of a read of the suspects, which rarely change, in milliseconds. */
    private static final long SUSPECTS_LONG_POLL_MS = 10_000;

    private final EventLoopGroup group;
    private final SettingsHolder settings;
    private final StoreApiCodec codec;
    private final EdgeMetrics metrics;
    private final EventLog log;
    private final ReaderSelection readerSelection;
    private final StoreEra era;

    TableFollowerFactory(
            EventLoopGroup group,
            SettingsHolder settings,
            StoreApiCodec codec,
            EdgeMetrics metrics,
            EventLog log,
            ReaderSelection readerSelection,
            StoreEra era) {
        this.group = group;
        this.settings = settings;
        this.codec = codec;
        this.metrics = metrics;
        this.log = log;
        this.readerSelection = readerSelection;
        this.era = era;
    }

    /** Creates the follower of the operator's table, which holds the configuration. */
    TableFollower configuration(TableListener listener, Runnable afterRead) {
        ReadSchedule schedule = new GroupReadSchedule(readerSelection, this::configurationIntervals);
        return follower(
                new TableFollowerSettings(StoreApiCodec.OPERATOR_TABLE, schedule, TIMEOUT_MS, RETRY_DELAY_MS),
                listener,
                afterRead);
    }

    private ReadIntervals configurationIntervals() {
        double boundMs = operatorTableBoundMs();
        return new ReadIntervals(
                0,
                (long) (boundMs * CONFIG_LONG_POLL_FRACTION),
                (long) (boundMs * CONFIG_FOLLOWER_MAX_AGE_FRACTION),
                (long) (boundMs * STAGGER_FRACTION));
    }

    /** Returns the time within which changes of the operator's table must reach all hosts, in milliseconds. */
    private double operatorTableBoundMs() {
        HostBounds bounds = settings.bounds();
        double configApplyMs = bounds.configApplyMs();
        return bounds.evacuationMs() == 0
                ? configApplyMs
                : Math.min(configApplyMs, bounds.evacuationMs() * EVACUATION_FRACTION);
    }

    /** Creates the follower of the endpoint table. */
    TableFollower endpoints(TableListener listener, Runnable afterRead) {
        ReadSchedule schedule = new GroupReadSchedule(readerSelection, this::endpointIntervals);
        return follower(
                new TableFollowerSettings(StoreApiCodec.ENDPOINT_TABLE, schedule, TIMEOUT_MS, RETRY_DELAY_MS),
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

    /** Creates the follower of the table in which hosts keep requests that crash endpoints. */
    TableFollower suspects(TableListener listener) {
        ReadSchedule schedule = new LongPollSchedule(SUSPECTS_MIN_INTERVAL_MS, SUSPECTS_LONG_POLL_MS);
        return follower(
                new TableFollowerSettings(StoreApiCodec.SUSPECT_TABLE, schedule, TIMEOUT_MS, RETRY_DELAY_MS),
                listener,
                () -> {});
    }

    /** Creates the rows in which hosts keep requests that crash endpoints. */
    SuspectRows suspectRows(StoredSuspects stored) {
        String host = settings.current().identity().hostName();
        StoreClient client = new StoreClient(group, settings, metrics);
        return new SuspectRows(host, stored, client, codec, log, InstantSource.system());
    }

    /** Creates the rows with the software versions of each service. */
    VersionRows versionRows(SoftwareVersions versions) {
        StoreClient client = new StoreClient(group, settings, metrics);
        return new VersionRows(versions, readerSelection::isReader, client, codec, group.next(), log);
    }

    /** Creates the discovery of the other hosts. */
    PeerDiscovery peerDiscovery(PeerTable peers) {
        return new PeerDiscovery(new StoreClient(group, settings, metrics), codec, group.next(), peers, log);
    }

    private TableFollower follower(TableFollowerSettings followerSettings, TableListener listener, Runnable afterRead) {
        StoreClient client = new StoreClient(group, settings, metrics);
        return new TableFollower(followerSettings, codec, client, group.next(), listener, era, log, afterRead);
    }
}
