package org.dragonflygw.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.RoutingRule;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.Team;

/** Index of one sheet: looks up teams by API key and routes by team and model. Immutable. */
public final class SheetIndex {
    private final ActiveSheet sheet;
    private final Map<String, Team> teamsByKeyHash = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<RouteKey, Route> routes = new HashMap<>();

    public SheetIndex(ActiveSheet sheet) {
        this.sheet = sheet;
        for (Team team : sheet.sheet().teams()) {
            teamsByKeyHash.put(team.keySha256(), team);
        }
        for (Service service : sheet.sheet().services()) {
            services.put(service.name(), service);
        }
        for (int i = 0; i < sheet.sheet().rules().size(); i++) {
            addRule(i, sheet.sheet().rules().get(i));
        }
    }

    /** The indexed sheet. */
    public ActiveSheet sheet() {
        return sheet;
    }

    /**
     * The team whose API key has the given hash. The last comparison takes constant time.
     *
     * @param keySha256 SHA-256 of the key, in hexadecimal
     */
    public Optional<Team> team(String keySha256) {
        Team team = teamsByKeyHash.get(keySha256);
        if (team == null || !equalInConstantTime(team.keySha256(), keySha256)) {
            return Optional.empty();
        }
        return Optional.of(team);
    }

    /** The route of a team's requests for a model, from the first matching rule in sheet order. */
    public Optional<Route> route(Team team, String model) {
        Route own = routes.get(new RouteKey(team.name(), model));
        Route general = routes.get(new RouteKey(RoutingRule.ANY_TEAM, model));
        if (own == null || general == null) {
            return Optional.ofNullable(own == null ? general : own);
        }
        return Optional.of(own.position() < general.position() ? own : general);
    }

    /** Names of the models that a team may use, in sheet order. */
    public List<String> models(Team team) {
        Set<String> models = new LinkedHashSet<>();
        for (RoutingRule rule : sheet.sheet().rules()) {
            boolean matches =
                    rule.team().equals(RoutingRule.ANY_TEAM) || rule.team().equals(team.name());
            Service service = services.get(rule.service());
            if (matches && service != null && service.kind() == ServiceKind.MODEL) {
                models.add(rule.model());
            }
        }
        return List.copyOf(models);
    }

    private void addRule(int position, RoutingRule rule) {
        Service service = services.get(rule.service());
        if (service != null) {
            routes.putIfAbsent(new RouteKey(rule.team(), rule.model()), new Route(position, service, rule.priority()));
        }
    }

    private static boolean equalInConstantTime(String a, String b) {
        return MessageDigest.isEqual(a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.US_ASCII));
    }

    private record RouteKey(String team, String model) {}
}
