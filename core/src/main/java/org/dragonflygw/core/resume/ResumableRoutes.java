package org.dragonflygw.core.resume;

import java.util.Comparator;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.routing.RoutingHash;

/** Names which services the streams of a configuration go to, so that a stream is not taken up at another service. */
public final class ResumableRoutes {
    private ResumableRoutes() {}

    /** Returns a text that is the same for configurations whose resumable streams go to the same services. */
    public static String digest(Catalog catalog) {
        long hash = catalog.routes().stream()
                .filter(r -> r.streaming() && r.resumable())
                .sorted(Comparator.comparing(CatalogRoute::name))
                .mapToLong(r -> RoutingHash.of(r.host() + ' ' + r.pathPrefix() + ' ' + r.services()))
                .reduce(0, RoutingHash::mix);
        return Long.toHexString(hash);
    }
}
