package org.dragonflygw.core.membership;

import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoadSink;
import org.dragonflygw.core.routing.EndpointLoadSource;

/**
 * State other than members that gossip disseminates.
 *
 * @param sheets the sheet in force and the newest sheet version known
 * @param ownLoads source of the load statements of this daemon
 * @param loads receives the load statements of other daemons
 * @param quarantine quarantined request fingerprints
 */
public record GossipPayloads(
        ActiveSheetHolder sheets, EndpointLoadSource ownLoads, EndpointLoadSink loads, Quarantine quarantine) {}
