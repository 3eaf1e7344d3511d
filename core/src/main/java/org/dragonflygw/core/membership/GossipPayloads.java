package org.dragonflygw.core.membership;

import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoadSink;
import org.dragonflygw.core.routing.EndpointLoadSource;

/**
 * What gossip spreads besides the members.
 *
 * @param sheets newest sheet version heard of and the sheet in force
 * @param ownLoads loads that this daemon states
 * @param loads takes the loads that others state
 * @param quarantine request fingerprints under quarantine
 */
public record GossipPayloads(
        ActiveSheetHolder sheets, EndpointLoadSource ownLoads, EndpointLoadSink loads, Quarantine quarantine) {}
