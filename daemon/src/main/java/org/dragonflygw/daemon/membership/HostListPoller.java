package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.util.Random;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.config.PollIntervals;
import org.dragonflygw.core.membership.EndpointDirectory;
import org.dragonflygw.core.storage.HostDirectory;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.daemon.schedule.BackgroundTimer;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Polls the platform's host list and updates members and endpoints from the list. The interval grows with the fleet, so
 * that all daemons together make at most about {@value #FLEET_READS_PER_SECOND} reads per second.
 */
@Singleton
public final class HostListPoller implements Managed {
    private static final Logger LOG = LogManager.getLogger(HostListPoller.class);
    private static final int FLEET_READS_PER_SECOND = 40;

    private final HostDirectory directory;
    private final GossipNode gossip;
    private final EndpointDirectory endpoints;
    private final PollIntervals intervals;
    private final BackgroundTimer poller = new BackgroundTimer("host-list", 1);

    @Inject
    public HostListPoller(
            HostDirectory directory, GossipNode gossip, EndpointDirectory endpoints, RouterSettings settings) {
        this.directory = directory;
        this.gossip = gossip;
        this.endpoints = endpoints;
        Random random = new Random(settings.getDaemonId().hashCode());
        intervals = new PollIntervals(settings.getHostListPollMillis(), FLEET_READS_PER_SECOND, random);
    }

    @Override
    public void start() {
        poll();
        poller.scheduleRepeatedly(nextMillis(), this::nextMillis, this::poll);
    }

    @Override
    public void stop() {
        poller.close();
    }

    private void poll() {
        try {
            HostListing listing = directory.list();
            gossip.seed(listing);
            endpoints.accept(listing);
        } catch (StorageException e) {
            LOG.warn("host list not read: {}", e.getMessage());
        }
    }

    private long nextMillis() {
        return intervals.nextMillis(gossip.members().size());
    }
}
