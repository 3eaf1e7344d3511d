package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.routing.RoutingHash;

/** Finds the route, team and service of a request in the configuration in force. */
public final class RequestResolver {
    private final CatalogHolder catalogs;
    private final StoreContact contact;

    /** Makes a resolver over the configuration in force. */
    public RequestResolver(CatalogHolder catalogs, StoreContact contact) {
        this.catalogs = catalogs;
        this.contact = contact;
    }

    /**
     * Resolves a request.
     *
     * @param fields what its head says
     * @param arrivedNanos when the head was read, on the monotonic clock
     * @param fingerprint hash of what the caller sends again under another id; 0 if it is not followed
     */
    public Resolution resolve(RequestHead fields, long arrivedNanos, long fingerprint) {
        Optional<Catalog> catalog = catalogs.current();
        if (catalog.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_CONFIGURATION);
        }
        if (fields.attemptId().isEmpty()) {
            return Resolution.rejected(RejectReason.BAD_REQUEST);
        }
        Optional<CatalogRoute> route = catalog.get().match(fields.host(), fields.path());
        if (route.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_ROUTE);
        }
        return withTeam(catalog.get(), route.get(), fields, arrivedNanos, fingerprint);
    }

    private Resolution withTeam(
            Catalog catalog, CatalogRoute route, RequestHead fields, long arrivedNanos, long fingerprint) {
        Optional<CatalogTeam> team = fields.key().flatMap(catalog::teamOfKey);
        boolean keyed = catalog.keysRequired() && !route.anonymous();
        if (keyed && !contact.keysConfirmed()) {
            return Resolution.rejected(RejectReason.KEYS_UNCONFIRMED);
        }
        if (keyed && team.isEmpty()) {
            return Resolution.rejected(RejectReason.UNKNOWN_KEY);
        }
        Optional<CatalogService> service = catalog.service(route.serviceFor(RoutingHash.of(fields.attemptId())));
        if (service.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_ENDPOINT);
        }
        int priority = team.isPresent() && team.get().priority().isPresent()
                ? team.get().priority().getAsInt()
                : route.priority();
        return Resolution.of(new ExchangeRequest(
                fields.attemptId(),
                keyed ? team.get().name() : "",
                route,
                service.get(),
                priority,
                fields.prompt(),
                arrivedNanos,
                fields.deadlineMs().orElse(route.timeoutMs()),
                fingerprint));
    }
}
