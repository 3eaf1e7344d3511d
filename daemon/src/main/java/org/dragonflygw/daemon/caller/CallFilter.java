package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.apache.logging.log4j.CloseableThreadContext;
import org.dragonflygw.daemon.stop.PlannedStop;
import org.dragonflygw.daemon.stop.StopPhase;

/**
 * Servlet filter around each request of a caller. Assigns the request id, counts the request as open, and releases
 * everything the request holds at its end, also after an error. During a planned stop it sets {@code Connection:
 * close}, so that callers reconnect to another daemon.
 */
@Singleton
public final class CallFilter implements Filter {
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final int MAX_LOGGED_CHAT_ID_CHARS = 200;

    private final RequestIdGenerator ids;
    private final OpenRequests openRequests;
    private final CallerMetrics metrics;
    private final PlannedStop stop;
    private final ObjectMapper json;

    @Inject
    public CallFilter(
            RequestIdGenerator ids,
            OpenRequests openRequests,
            CallerMetrics metrics,
            PlannedStop stop,
            ObjectMapper json) {
        this.ids = ids;
        this.openRequests = openRequests;
        this.metrics = metrics;
        this.stop = stop;
        this.json = json;
    }

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        String requestId = ids.next();
        ((HttpServletResponse) response).setHeader(REQUEST_ID_HEADER, requestId);
        metrics.received();
        if (stop.progress().phase() != StopPhase.RUNNING) {
            ((HttpServletResponse) response).setHeader("Connection", "close");
        }
        try {
            openRequests.enter();
        } catch (CallerException e) {
            refuse((HttpServletResponse) response, e, requestId);
            return;
        }
        Call call = new Call(requestId);
        request.setAttribute(Call.ATTRIBUTE, call);
        try (CloseableThreadContext.Instance context = CloseableThreadContext.put("requestId", requestId)) {
            context.put("chatId", chatId((HttpServletRequest) request));
            chain.doFilter(request, response);
        } finally {
            call.close();
            openRequests.exit();
        }
    }

    private void refuse(HttpServletResponse response, CallerException e, String requestId) throws IOException {
        metrics.failed(e);
        byte[] body = json.writeValueAsBytes(ErrorBody.of(e, requestId));
        response.setStatus(e.callerCode().status());
        response.setContentType("application/json");
        response.setHeader("Retry-After", Long.toString(ErrorMapper.retryAfterSeconds(e)));
        response.setHeader("Connection", "close");
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    private static String chatId(HttpServletRequest request) {
        String chatId = request.getHeader("X-Chat-Id");
        if (chatId == null) {
            return "";
        }
        return chatId.substring(0, Math.min(chatId.length(), MAX_LOGGED_CHAT_ID_CHARS));
    }
}
