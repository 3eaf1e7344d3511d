package org.dragonflygw.core.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Sample sheets for tests. */
final class Sheets {
    private Sheets() {}

    /** CSV of a valid sheet with the given number of teams and three other rows. */
    static byte[] withTeams(int count) {
        return new SheetWriter().write(sheet(count, 1));
    }

    /** Valid sheet with the given number of teams, all of the given weight. */
    static Sheet sheet(int count, int weight) {
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = SheetDigest.of(("key-" + i).getBytes(StandardCharsets.UTF_8));
            teams.add(new Team("team-" + i, key, weight, 0, 0));
        }
        Service service = new Service("chat", ServiceKind.MODEL, "pool", "m", 1.25, 16, 64, 30_000, 1_000, 10, true);
        return new Sheet(
                teams,
                List.of(service),
                List.of(new RoutingRule("*", "m", "chat", 5)),
                List.of(new Placement("pool", "m", "1", "", 0)));
    }
}
