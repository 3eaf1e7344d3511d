package org.dragonflygw.daemon.inspect;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.inspect.TeamView;

/** Operators' interface for the teams of the sheet in force, with the request counts of this daemon. */
@Path("/v1/teams")
@Produces(MediaType.APPLICATION_JSON)
public final class TeamsResource {
    private final SheetSource sheets;
    private final RequestMonitor monitor;

    @Inject
    public TeamsResource(SheetSource sheets, RequestMonitor monitor) {
        this.sheets = sheets;
        this.monitor = monitor;
    }

    /** The teams, in the order of the sheet. */
    @GET
    public List<TeamView> teams() {
        return sheets.current().sheet().teams().stream().map(this::view).toList();
    }

    private TeamView view(Team team) {
        TeamCounts counts = monitor.counts(team.name());
        return new TeamView(
                team.name(),
                team.weight(),
                team.requestsPerSecond(),
                counts.openCount(),
                counts.acceptedCount(),
                counts.refusedCount(),
                counts.failedCount(),
                counts.firstTokenP95Millis());
    }
}
