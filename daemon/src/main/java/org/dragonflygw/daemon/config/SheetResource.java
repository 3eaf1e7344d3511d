package org.dragonflygw.daemon.config;

import com.google.inject.Inject;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.config.AppliedVersion;
import org.dragonflygw.core.config.ApplyResult;
import org.dragonflygw.core.config.ConfigException;
import org.dragonflygw.core.config.ConfigPublisher;
import org.dragonflygw.core.config.RowChange;
import org.dragonflygw.core.config.SheetDiff;
import org.dragonflygw.core.config.SheetReadResult;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.inspect.SheetApplyView;
import org.dragonflygw.core.inspect.SheetCheckView;
import org.dragonflygw.core.inspect.SheetDiffView;
import org.dragonflygw.core.inspect.SheetView;
import org.dragonflygw.wire.settings.RouterSettings;

/** Operator resource that checks, compares, applies and shows the sheet. */
@Path("/v1/sheet")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.WILDCARD)
public final class SheetResource {
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int UNPROCESSABLE_CONTENT = 422;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_NAME_LENGTH = 100;

    private final ActiveSheetHolder sheets;
    private final SheetReader reader;
    private final ConfigPublisher publisher;
    private final SheetUpdater updater;
    private final String daemonId;

    @Inject
    public SheetResource(
            ActiveSheetHolder sheets,
            SheetReader reader,
            ConfigPublisher publisher,
            SheetUpdater updater,
            RouterSettings settings) {
        this.sheets = sheets;
        this.reader = reader;
        this.publisher = publisher;
        this.updater = updater;
        daemonId = settings.getDaemonId();
    }

    /** Returns the active sheet with its version. */
    @GET
    public SheetView show() {
        ActiveSheet active = sheets.current();
        byte[] content = sheets.content(active.version().digest()).orElse(new byte[0]);
        return new SheetView(
                daemonId,
                active.version().number(),
                active.version().digest(),
                new String(content, StandardCharsets.UTF_8));
    }

    /** Validates a sheet and returns its problems. */
    @POST
    @Path("/check")
    public Response check(InputStream body) throws IOException {
        return Response.ok(view(reader.read(content(body)))).build();
    }

    /** Returns the changes from the active sheet to the given one, or status 422 for an invalid sheet. */
    @POST
    @Path("/diff")
    public Response diff(InputStream body) throws IOException {
        SheetReadResult readResult = reader.read(content(body));
        if (!readResult.isValid()) {
            return invalid(readResult);
        }
        ActiveSheet active = sheets.current();
        SheetDiff diff = SheetDiff.between(active.sheet(), readResult.sheet().orElseThrow());
        return Response.ok(new SheetDiffView(active.version().number(), lines(diff)))
                .build();
    }

    /**
     * Publishes a sheet as the next version of the configuration.
     *
     * @param expected number of the version that the sheet replaces, 0 for the first; another current version leads to
     *     status 409
     * @param token idempotency token of the change, repeated in each retry
     * @param operator name of the operator, for the record of the version
     */
    @POST
    @Path("/apply")
    public Response apply(
            @QueryParam("expected") @DefaultValue("-1") long expected,
            @QueryParam("token") @DefaultValue("") String token,
            @QueryParam("operator") @DefaultValue("unnamed") String operator,
            InputStream body)
            throws IOException {
        if (expected < 0 || !isName(token) || !isName(operator)) {
            return error(BAD_REQUEST, "BAD_PARAMETER", "give expected=N, token=T and operator=NAME");
        }
        byte[] content = content(body);
        try {
            return answer(publisher.apply(content, expected, token, operator), content);
        } catch (ConfigException e) {
            return error(UNAVAILABLE, e.code().name(), e.getMessage());
        }
    }

    private Response answer(ApplyResult result, byte[] content) {
        if (result instanceof ApplyResult.Accepted accepted) {
            AppliedVersion version = accepted.version();
            updater.activate(version.version(), content);
            return Response.ok(view(true, version, List.of())).build();
        }
        if (result instanceof ApplyResult.Conflict conflict) {
            AppliedVersion winner = conflict.winner().orElse(new AppliedVersion(0, "", "", "", 0));
            List<String> changes =
                    conflict.diff().map(SheetResource::lines).orElse(List.of("the accepted sheet could not be read"));
            return Response.status(CONFLICT)
                    .entity(view(false, winner, changes))
                    .build();
        }
        return invalid(((ApplyResult.Invalid) result).readResult());
    }

    private static byte[] content(InputStream body) throws IOException {
        byte[] content = body.readNBytes(SheetReader.MAX_BYTES + 1);
        if (content.length > SheetReader.MAX_BYTES) {
            throw new WebApplicationException(
                    error(TOO_LARGE, "TOO_LARGE", "a sheet has at most " + SheetReader.MAX_BYTES + " bytes"));
        }
        return content;
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }

    private static Response invalid(SheetReadResult readResult) {
        return Response.status(UNPROCESSABLE_CONTENT).entity(view(readResult)).build();
    }

    private static Response error(int status, String code, String message) {
        return Response.status(status)
                .type(MediaType.APPLICATION_JSON)
                .entity(new OperatorError(code, message))
                .build();
    }

    private static SheetCheckView view(SheetReadResult readResult) {
        return new SheetCheckView(readResult.isValid(), readResult.problemCount(), readResult.problems());
    }

    private static SheetApplyView view(boolean accepted, AppliedVersion version, List<String> changes) {
        return new SheetApplyView(accepted, version.number(), version.digest(), version.operator(), changes);
    }

    private static List<String> lines(SheetDiff diff) {
        return diff.changes().stream().map(RowChange::toString).toList();
    }

    /**
     * Body of an error response.
     *
     * @param code stable error code
     * @param message description of the error
     */
    public record OperatorError(String code, String message) {}
}
