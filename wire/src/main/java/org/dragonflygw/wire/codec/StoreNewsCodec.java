package org.dragonflygw.wire.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.wire.hosts.EndpointChangeMessage;
import org.dragonflygw.wire.hosts.StoreNewsMessage;

/** Converts store news, a part of host reports, between the core model and Thrift. Thread-safe. */
final class StoreNewsCodec {
    private StoreNewsCodec() {}

    static StoreNewsMessage encode(StoreNews news) {
        List<EndpointChangeMessage> changes = new ArrayList<>();
        news.changes().forEach(c -> changes.add(encode(c)));
        StoreNewsMessage message = new StoreNewsMessage(
                news.reachable(),
                news.endpointsVersion(),
                news.endpointsAgeMs(),
                news.completeFrom(),
                changes,
                news.configuration().rowVersion(),
                news.configuration().ageMs(),
                news.configuration().updates().stream()
                        .map(CatalogUpdateCodec::encode)
                        .toList());
        return message.setStoreEra(news.era())
                .setConfigVersion(news.configuration().configVersion());
    }

    private static EndpointChangeMessage encode(EndpointChange change) {
        EndpointChangeMessage m = new EndpointChangeMessage(change.id(), change.version());
        change.entry().filter(e -> e.warmupLeftMs() > 0).ifPresent(e -> m.setWarmupLeftMillis(e.warmupLeftMs()));
        change.entry()
                .ifPresent(e -> m.setServiceName(e.service())
                        .setIp(e.host())
                        .setPort(e.port())
                        .setZone(e.zone())
                        .setSlots(e.slots())
                        .setDraining(e.draining())
                        .setStartedMillis(e.startedMs())
                        .setSoftwareVersion(e.version()));
        return m;
    }

    static StoreNews decode(StoreNewsMessage m) {
        List<EndpointChange> changes = new ArrayList<>();
        m.getChanges().forEach(c -> changes.add(decode(c)));
        ConfigurationNews configuration = new ConfigurationNews(
                m.getConfigRowVersion(),
                m.getConfigVersion(),
                m.getConfigAgeMillis(),
                m.getUpdates().stream().map(CatalogUpdateCodec::decode).toList());
        return new StoreNews(
                m.isSetStoreEra() ? m.getStoreEra() : StoreEra.UNKNOWN,
                m.isReachable(),
                m.getEndpointsVersion(),
                m.getEndpointsAgeMillis(),
                m.getCompleteFrom(),
                changes,
                configuration);
    }

    private static EndpointChange decode(EndpointChangeMessage m) {
        if (!m.isSetServiceName()) {
            return new EndpointChange(m.getId(), Optional.empty(), m.getVersion());
        }
        DiscoveredEndpoint e = new DiscoveredEndpoint(
                m.getId(),
                m.getServiceName(),
                m.getIp(),
                m.getPort(),
                m.getZone(),
                m.getSlots(),
                m.isDraining(),
                m.isSetWarmupLeftMillis() ? m.getWarmupLeftMillis() : 0,
                m.getStartedMillis(),
                m.isSetSoftwareVersion() ? m.getSoftwareVersion() : "");
        return new EndpointChange(m.getId(), Optional.of(e), m.getVersion());
    }
}
