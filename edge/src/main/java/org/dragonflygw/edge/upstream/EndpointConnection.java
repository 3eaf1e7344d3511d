package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.EndpointNotices;
import org.dragonflygw.core.exchange.HeaderField;
import org.dragonflygw.core.exchange.ResponseHead;
import org.dragonflygw.core.exchange.ResponseOwner;
import org.dragonflygw.core.paths.EndpointPaths;
import org.dragonflygw.core.ratelimit.RateStatement;
import org.dragonflygw.edge.memory.HeaderAccount;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/**
 * One connection to an endpoint, for one request at a time. A response that echoes the id of another request is
 * skipped; bytes that arrive while no request is open close the connection. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final long NANOS_PER_S = 1_000_000_000L;

    /** Time before the endpoint's announced idle timeout at which a connection is no longer reused, in nanoseconds. */
    private static final long KEEP_ALIVE_MARGIN_NANOS = 300_000_000L;

    /**
     * Time for which the response to an abandoned request is awaited, in milliseconds: a few network delays, and short
     * against the work that the endpoint goes on doing meanwhile.
     */
    private static final long ABANDONED_WAIT_MS = 50;

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private static final String NO_SINGLE_ID = "no single attempt id";

    private final EndpointConnectionPool pool;
    private final EndpointHeaders headers;
    private final EndpointNotices notices;
    private final EndpointPaths paths;
    private final UnusedResponses unused;
    private final SkippedByteLimit skippedByteLimit;
    private final EndpointResponseDecoder decoder;
    private final HeaderAccount account;
    private final UnexpectedByteGuard guard = new UnexpectedByteGuard(this::onUnexpectedBytes);

    private ChannelHandlerContext context;
    private DiscoveredEndpoint endpoint;
    /** Id of the request that was sent last. */
    private String lastRequest = "";

    private PendingAttempt attempt;
    private ChannelFuture written;

    /** Whether the response being read is informational or belongs to another request. */
    private boolean skippingResponse;

    private boolean headReceived;
    private boolean reusable = true;

    private boolean responseComplete;
    private boolean abandoned;
    private boolean closing;
    private long openedNanos;
    private long idleSinceNanos;
    private long sentNanos;

    /** Idle time before the current request was sent, in nanoseconds; 0 for the first request of the connection. */
    private long idleBeforeSendNanos;

    private long keepAliveNanos = Long.MAX_VALUE;

    EndpointConnection(
            EndpointConnectionPool pool,
            EndpointHeaders headers,
            EndpointNotices notices,
            EndpointPaths paths,
            UnusedResponses unused,
            SkippedByteLimit skippedByteLimit,
            EndpointResponseDecoder decoder,
            HeaderAccount account) {
        this.pool = pool;
        this.headers = headers;
        this.notices = notices;
        this.paths = paths;
        this.unused = unused;
        this.skippedByteLimit = skippedByteLimit;
        this.decoder = decoder;
        this.account = account;
    }

    /** Returns the handler that sees all bytes before they are decoded. */
    UnexpectedByteGuard guard() {
        return guard;
    }

    private void onUnexpectedBytes(long bytes) {
        unused.onIdle(endpoint, lastRequest, bytes);
    }

    DiscoveredEndpoint endpoint() {
        return endpoint;
    }

    void endpoint(DiscoveredEndpoint e) {
        endpoint = e;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    boolean isUsable(DiscoveredEndpoint to, long nowNanos, long maxIdleNanos) {
        long limit = Math.min(maxIdleNanos, keepAliveNanos);
        return context.channel().isActive() && endpoint.sameIncarnation(to) && nowNanos - idleSinceNanos < limit;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        openedNanos = System.nanoTime();
    }

    void send(EndpointRequest r, PendingAttempt a) {
        lastRequest = r.attemptId();
        attempt = a;
        guard.setRequestOpen(true);
        sentNanos = System.nanoTime();
        idleBeforeSendNanos = idleSinceNanos == 0 ? 0 : sentNanos - idleSinceNanos;
        headReceived = false;
        skippingResponse = false;
        skippedByteLimit.reset();
        decoder.onRequest(r.method());
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(r.method()),
                r.target(),
                r.body().retainedDuplicate());
        r.header().forEach(f -> message.headers().add(f.name(), f.value()));
        int length = r.body().readableBytes();
        if (length > 0
                || HttpMethod.POST.name().equals(r.method())
                || HttpMethod.PUT.name().equals(r.method())) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        written = context.writeAndFlush(message);
        paths.onSent(endpoint);
    }

    void close() {
        attempt = null;
        closing = true;
        context.close();
    }

    /**
     * Ends a request that nobody waits for any more. If its response has not begun, the connection stays open for a moment
     * for what the endpoint may say of itself in a response that is on its way.
     */
    void abandon() {
        if (headReceived) {
            close();
            return;
        }
        attempt = null;
        abandoned = true;
        setAutoRead(true);
        context.executor().schedule(this::close, ABANDONED_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void setAutoRead(boolean enabled) {
        context.channel().config().setAutoRead(enabled);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        paths.onHeard(endpoint);
        notices.onHeard(endpoint, openedNanos);
        try {
            if (attempt != null) {
                onMessage((HttpObject) message);
            } else if (abandoned && message instanceof HttpResponse response) {
                onAbandonedResponse(response);
            } else {
                closeBecauseOfRemainder();
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Bytes after a response belong to no request. */
    private void closeBecauseOfRemainder() {
        if (responseComplete) {
            responseComplete = false;
            unused.onRemainder(endpoint, lastRequest);
        }
        context.close();
    }

    private void onAbandonedResponse(HttpResponse response) {
        if (response.decoderResult().isSuccess() && !isInformational(response)) {
            List<HeaderField> fields = fieldsOf(response);
            ResponseHead head = decode(response, fields);
            switch (headers.ownerOf(fields, lastRequest)) {
                case OPEN_REQUEST -> notices.accept(endpoint, head, lastRequest, sentNanos);
                case OTHER_REQUEST -> onOtherRequest(head);
                case UNKNOWN -> unused.onMalformed(endpoint, lastRequest, NO_SINGLE_ID);
            }
        }
        context.close();
    }

    private void onOtherRequest(ResponseHead head) {
        unused.onOtherRequest(endpoint, lastRequest, head.status());
        notices.accept(endpoint, head, lastRequest, RateStatement.UNKNOWN_SENT);
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private ResponseHead decode(HttpResponse response, List<HeaderField> fields) {
        return headers.decode(response.status().code(), response.headers()::get, fields);
    }

    private static List<HeaderField> fieldsOf(HttpResponse response) {
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<String, String> e : response.headers()) {
            fields.add(new HeaderField(e.getKey(), e.getValue()));
        }
        return fields;
    }

    private void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            failMalformed(message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse response) {
            onResponse(response);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onResponse(HttpResponse response) {
        if (isInformational(response)) {
            skippingResponse = true;
            return;
        }
        List<HeaderField> fields = fieldsOf(response);
        ResponseHead head = decode(response, fields);
        ResponseOwner owner = headers.ownerOf(fields, lastRequest);
        if (owner == ResponseOwner.UNKNOWN) {
            failMalformed(NO_SINGLE_ID);
            return;
        }
        if (owner == ResponseOwner.OTHER_REQUEST) {
            skippingResponse = true;
            reusable = false;
            onOtherRequest(head);
            return;
        }
        skippingResponse = false;
        headReceived = true;
        reusable &= HttpUtil.isKeepAlive(response) && hasExplicitEnd(response);
        recordKeepAliveTimeout(response.headers().get("Keep-Alive"));
        attempt.onHead(head);
    }

    private static boolean hasExplicitEnd(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    }

    private void recordKeepAliveTimeout(String header) {
        int at = header == null ? -1 : header.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return;
        }
        String digits = header.substring(at + TIMEOUT_PARAMETER.length()).split("[^0-9]", 2)[0];
        if (!digits.isEmpty() && digits.length() < 7) {
            keepAliveNanos = Math.max(0, Long.parseLong(digits) * NANOS_PER_S - KEEP_ALIVE_MARGIN_NANOS);
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse) {
            if (last) {
                skippingResponse = false;
            }
            return;
        }
        if (attempt == null) {
            return;
        }
        if (content.content().isReadable()) {
            skippedByteLimit.reset();
            attempt.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (last && attempt != null) {
            complete();
        }
    }

    private void complete() {
        PendingAttempt done = attempt;
        attempt = null;
        boolean keepOpen = reusable && headReceived && written.isDone() && written.isSuccess();
        done.onComplete();
        if (keepOpen && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
            responseComplete = true;
            return;
        }
        context.close();
    }

    /**
     * Returns the connection to the pool only after all received bytes are read, and only if none of them came after the
     * response: in the decoder, the next response would continue them.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!responseComplete || !ctx.channel().isActive()) {
            return;
        }
        if (decoder.isInsideMessage()) {
            closeBecauseOfRemainder();
            return;
        }
        responseComplete = false;
        guard.setRequestOpen(false);
        account.releaseMessages();
        idleSinceNanos = System.nanoTime();
        pool.onIdle(this);
    }

    private void failMalformed(String reason) {
        unused.onMalformed(endpoint, lastRequest, reason);
        fail(AttemptFailure.MALFORMED);
    }

    private void fail(AttemptFailure failure) {
        PendingAttempt failed = attempt;
        attempt = null;
        context.close();
        if (failed != null) {
            failed.onFailed(failure);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        boolean idle = pool.onClosed(this);
        if (attempt != null || (idle && !closing)) {
            notices.onConnectionLost(endpoint);
        }
        failConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            failMalformed(cause.getMessage());
            return;
        }
        failConnectionLost();
    }

    private void failConnectionLost() {
        if (attempt != null && !headReceived) {
            paths.onConnectionLost(endpoint);
        }
        if (attempt != null && !headReceived && idleBeforeSendNanos > 0) {
            pool.onReusedConnectionLost(endpoint, idleBeforeSendNanos);
        }
        fail(AttemptFailure.CONNECTION_LOST);
    }
}
