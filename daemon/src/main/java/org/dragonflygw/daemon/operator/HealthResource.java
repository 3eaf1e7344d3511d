package org.dragonflygw.daemon.operator;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Set;
import org.dragonflygw.daemon.stop.PlannedStop;
import org.dragonflygw.daemon.stop.StopProgress;

/** Health checks: liveness, and readiness with its conditions. */
@Path("/health")
@Produces(MediaType.APPLICATION_JSON)
public final class HealthResource {
    private static final int STATUS_READY = 200;
    private static final int STATUS_NOT_READY = 503;

    private final Set<ReadinessCheck> checks;
    private final PlannedStop stop;

    @Inject
    public HealthResource(Set<ReadinessCheck> checks, PlannedStop stop) {
        this.checks = checks;
        this.stop = stop;
    }

    /** Responds with status 200 as long as the process runs. */
    @GET
    @Path("/live")
    public Liveness live() {
        return new Liveness("live");
    }

    /**
     * Responds with status 200 when the load balancer may send requests, else 503. The body lists the conditions and
     * the progress of a planned stop.
     */
    @GET
    @Path("/ready")
    public Response ready() {
        List<Condition> conditions = checks.stream().map(Condition::of).toList();
        boolean ready = conditions.stream().allMatch(Condition::holds);
        return Response.status(ready ? STATUS_READY : STATUS_NOT_READY)
                .entity(new Readiness(ready, conditions, stop.progress()))
                .build();
    }

    /**
     * Body of a liveness response.
     *
     * @param status always {@code live}
     */
    public record Liveness(String status) {}

    /**
     * Body of a readiness response.
     *
     * @param ready whether all conditions hold
     * @param conditions the conditions
     * @param stop progress of a planned stop
     */
    public record Readiness(boolean ready, List<Condition> conditions, StopProgress stop) {}

    /**
     * State of a readiness condition.
     *
     * @param name name of the condition
     * @param holds whether the condition holds
     * @param problem why it does not hold; empty when it does
     */
    public record Condition(String name, boolean holds, String problem) {
        static Condition of(ReadinessCheck check) {
            String problem = check.problem().orElse("");
            return new Condition(check.name(), problem.isEmpty(), problem);
        }
    }
}
