package org.dragonflygw.wire.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.storenews.CatalogUpdate;
import org.dragonflygw.wire.hosts.CatalogUpdateMessage;
import org.dragonflygw.wire.hosts.KeyMessage;
import org.dragonflygw.wire.hosts.RouteMessage;
import org.dragonflygw.wire.hosts.ServiceMessage;
import org.dragonflygw.wire.hosts.WeightedServiceMessage;

/** Converts configuration changes, a part of store news, between the core model and Thrift. Thread-safe. */
final class CatalogUpdateCodec {
    private CatalogUpdateCodec() {}

    static CatalogUpdateMessage encode(CatalogUpdate update) {
        CatalogChange c = update.change();
        List<KeyMessage> keys = new ArrayList<>();
        c.keys().forEach((key, team) -> keys.add(encode(key, team)));
        return new CatalogUpdateMessage(
                update.fromRowVersion(),
                update.rowVersion(),
                c.version(),
                c.limits().maxHeaderBytes(),
                c.limits().maxBodyBytes(),
                c.limits().headerTimeoutMs(),
                c.limits().idleTimeoutMs(),
                c.keysRequired(),
                c.routes().stream().map(CatalogUpdateCodec::encode).toList(),
                c.removedRoutes(),
                c.services().stream().map(CatalogUpdateCodec::encode).toList(),
                c.removedServices(),
                keys,
                c.removedKeys());
    }

    private static KeyMessage encode(String key, CatalogTeam team) {
        KeyMessage m = new KeyMessage(key, team.name());
        team.priority().ifPresent(m::setPriority);
        return m;
    }

    private static RouteMessage encode(CatalogRoute r) {
        List<WeightedServiceMessage> services = r.services().stream()
                .map(s -> new WeightedServiceMessage(s.service(), s.weight()))
                .toList();
        return new RouteMessage(
                r.name(),
                r.host(),
                r.pathPrefix(),
                r.kind().name(),
                r.timeoutMs(),
                r.objectiveMs(),
                r.priority(),
                services,
                r.maxAttempts(),
                r.anonymous(),
                r.promptAffinity(),
                r.resumable(),
                r.maxEventGapMs());
    }

    private static ServiceMessage encode(CatalogService s) {
        ServiceMessage m = new ServiceMessage(
                s.name(), s.healthPath(), s.maxConnections(), s.slots(), s.cacheTokens(), s.bytesPerToken());
        return s.limitsColdEndpoints() ? m.setWarmupMillis(s.warmupMs()).setWarmupPerSecond(s.warmupPerSecond()) : m;
    }

    static CatalogUpdate decode(CatalogUpdateMessage m) {
        CallerLimits limits = new CallerLimits(
                m.getMaxHeaderBytes(), m.getMaxBodyBytes(), m.getHeaderTimeoutMillis(), m.getIdleTimeoutMillis());
        Map<String, CatalogTeam> keys = new HashMap<>();
        m.getKeys().forEach(k -> keys.put(k.getKey(), decodeTeam(k)));
        CatalogChange change = new CatalogChange(
                m.getVersion(),
                limits,
                m.isKeysRequired(),
                m.getRoutes().stream().map(CatalogUpdateCodec::decode).toList(),
                m.getRemovedRoutes(),
                m.getServices().stream().map(CatalogUpdateCodec::decode).toList(),
                m.getRemovedServices(),
                keys,
                m.getRemovedKeys());
        return new CatalogUpdate(m.getFromRowVersion(), m.getRowVersion(), change);
    }

    private static CatalogTeam decodeTeam(KeyMessage k) {
        return new CatalogTeam(k.getTeam(), k.isSetPriority() ? OptionalInt.of(k.getPriority()) : OptionalInt.empty());
    }

    private static CatalogRoute decode(RouteMessage m) {
        List<WeightedService> services = m.getServices().stream()
                .map(s -> new WeightedService(s.getServiceName(), s.getWeight()))
                .toList();
        return new CatalogRoute(
                m.getName(),
                m.getHost(),
                m.getPathPrefix(),
                RouteKind.valueOf(m.getKind()),
                m.getTimeoutMillis(),
                m.getObjectiveMillis(),
                m.getPriority(),
                services,
                m.getMaxAttempts(),
                m.isAnonymous(),
                m.isPromptAffinity(),
                m.isResumable(),
                m.getMaxEventGapMillis());
    }

    private static CatalogService decode(ServiceMessage m) {
        return new CatalogService(
                m.getName(),
                m.getHealthPath(),
                m.getMaxConnections(),
                m.getSlots(),
                m.getCacheTokens(),
                m.getBytesPerToken(),
                m.isSetWarmupMillis() ? m.getWarmupMillis() : 0,
                m.isSetWarmupPerSecond() ? m.getWarmupPerSecond() : 0);
    }
}
