package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.routing.RoutingHash;

/** Finds the route, team and service of a request in the current configuration. */
public final class RequestResolver {
    private final CatalogHolder catalogs;
    private final StoreContact contact;

    public RequestResolver(CatalogHolder catalogs, StoreContact contact) {
        this.catalogs = catalogs;
        this.contact = contact;
    }

    /**
     * Resolves a request, or gives the reason for its rejection.
     *
     * @param head decoded head of the request
     * @param arrivedNanos when the head was read, on the monotonic clock
     * @param contentHash hash of the request's method, target and body
     */
    public Resolution resolve(RequestHead head, long arrivedNanos, long contentHash) {
        Optional<Catalog> catalog = catalogs.current();
        if (catalog.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_CONFIGURATION);
        }
        if (head.attemptId().isEmpty()) {
            return Resolution.rejected(RejectReason.BAD_REQUEST);
        }
        Optional<CatalogRoute> route = catalog.get().match(head.host(), head.path());
        if (route.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_ROUTE);
        }
        return withTeam(catalog.get(), route.get(), head, arrivedNanos, contentHash);
    }

    /** A stream that is taken up goes to the service that its first attempt went to, if the route is the same. */
    private static long serviceKey(CatalogRoute route, RequestHead head) {
        return RoutingHash.of(resumption(route, head)
                .map(Resumption::originAttempt)
                .filter(id -> !id.isEmpty())
                .orElse(head.attemptId()));
    }

    private static Optional<Resumption> resumption(CatalogRoute route, RequestHead head) {
        return route.streaming() && route.resumable() ? head.resumption() : Optional.empty();
    }

    private Resolution withTeam(
            Catalog catalog, CatalogRoute route, RequestHead head, long arrivedNanos, long contentHash) {
        Optional<CatalogTeam> team = head.key().flatMap(catalog::teamOfKey);
        boolean keyRequired = catalog.keysRequired() && !route.anonymous();
        if (keyRequired && !contact.keysConfirmed()) {
            return Resolution.rejected(RejectReason.KEYS_UNCONFIRMED);
        }
        if (keyRequired && team.isEmpty()) {
            return Resolution.rejected(RejectReason.UNKNOWN_KEY);
        }
        Optional<CatalogService> service = catalog.service(route.serviceFor(serviceKey(route, head)));
        if (service.isEmpty()) {
            return Resolution.rejected(RejectReason.NO_ENDPOINT);
        }
        int priority = team.isPresent() && team.get().priority().isPresent()
                ? team.get().priority().getAsInt()
                : route.priority();
        String teamName = keyRequired ? team.get().name() : "";
        return Resolution.of(new ExchangeRequest(
                head.attemptId(),
                teamName,
                route,
                service.get(),
                priority,
                resumption(route, head),
                head.prompt(),
                arrivedNanos,
                head.deadlineMs().orElse(route.timeoutMs()),
                RoutingHash.mix(contentHash, RoutingHash.of(teamName))));
    }
}
