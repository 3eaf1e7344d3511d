package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.error.RunStatus;

/** Maps every exception of a request to the JSON error response for callers. */
@Singleton
public final class ErrorMapper implements ExceptionMapper<RuntimeException> {
    private static final Logger LOG = LogManager.getLogger(ErrorMapper.class);
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CallerMetrics metrics;

    @Context
    private HttpServletRequest servletRequest;

    @Inject
    public ErrorMapper(CallerMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public Response toResponse(RuntimeException failure) {
        CallerException e = asCallerException(failure);
        metrics.failed(e);
        Object call = servletRequest.getAttribute(Call.ATTRIBUTE);
        String requestId = call instanceof Call known ? known.requestId() : "";
        Response.ResponseBuilder response = Response.status(e.callerCode().status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .entity(ErrorBody.of(e, requestId));
        if (e.retryAfterMillis() > 0) {
            response.header("Retry-After", retryAfterSeconds(e));
        }
        return response.build();
    }

    /** Delay until the caller may retry, rounded up to whole seconds. */
    static long retryAfterSeconds(CallerException e) {
        return (e.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    private static CallerException asCallerException(RuntimeException failure) {
        if (failure instanceof CallerException e) {
            LOG.info("request refused: {} run={}", e.getMessage(), e.run().wireName());
            return e;
        }
        if (failure instanceof WebApplicationException e) {
            return fromFramework(e);
        }
        LOG.error("request failed with an unexpected error", failure);
        return new CallerException(CallerCode.INTERNAL, RunStatus.UNKNOWN, "internal error", 0, failure);
    }

    private static CallerException fromFramework(WebApplicationException e) {
        CallerCode code =
                switch (e.getResponse().getStatus()) {
                    case 404 -> CallerCode.NOT_FOUND;
                    case 405 -> CallerCode.METHOD_NOT_ALLOWED;
                    default -> CallerCode.INVALID_BODY;
                };
        return new CallerException(code, RunStatus.NOT_RUN, e.getMessage(), 0, e);
    }
}
