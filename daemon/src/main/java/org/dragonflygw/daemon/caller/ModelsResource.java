package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.request.SheetIndex;

/** Callers' interface that lists the models of a team. */
@Path("/v1/models")
public final class ModelsResource {
    private final SheetIndexCache indexes;

    @Inject
    public ModelsResource(SheetIndexCache indexes) {
        this.indexes = indexes;
    }

    /** Lists the models that the team of the given key may use. */
    @GET
    @Produces(MediaType.APPLICATION_JSON)
    public ModelList list(@Context HttpHeaders headers) {
        SheetIndex index = indexes.current();
        Team team = TeamAuthenticator.authenticate(index, headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        List<Model> models = index.models(team).stream()
                .map(name -> new Model(name, "model"))
                .toList();
        return new ModelList("list", models);
    }

    /**
     * A list of models in the usual format of chat completion APIs.
     *
     * @param object always {@code list}
     * @param data the models
     */
    public record ModelList(String object, List<Model> data) {}

    /**
     * One model.
     *
     * @param id name of the model
     * @param object always {@code model}
     */
    public record Model(String id, String object) {}
}
