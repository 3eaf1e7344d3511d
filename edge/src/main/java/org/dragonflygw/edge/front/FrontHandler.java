package org.dragonflygw.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.exchange.RejectReason;
import org.dragonflygw.core.exchange.Rejection;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.edge.memory.AccountedHeaders;
import org.dragonflygw.edge.memory.HeaderAccount;
import org.dragonflygw.edge.memory.HeaderBudgetException;

/**
 * Handles one connection of a caller: reads requests one after the other and passes each to a {@link Call}. Messages of
 * pipelined requests are queued until the response to the current request is complete. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
final class FrontHandler extends ChannelInboundHandlerAdapter {
    /** Number of messages that may wait for the current response to end; one more closes the connection. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    /**
     * Time in milliseconds that is added to the idle timeout before an idle connection is closed, so that the caller
     * closes it first.
     */
    private static final long IDLE_SLACK_MS = 1_500;

    /** Estimated bytes of heap of a message that waits, besides its content. */
    private static final long QUEUED_MESSAGE_BYTES = 256;

    private final FrontContext front;
    private final HeaderAccount account;
    private final Deque<HttpObject> queued = new ArrayDeque<>();

    /** Delay in milliseconds after which a caller may come back; the balancer sends it to another host. */
    private static final long RETRY_ELSEWHERE_MS = 50;

    private ChannelHandlerContext context;
    private Call call;

    /** What the head of the current call was charged with, in bytes. */
    private long callCharge;

    /** Method of the request that was read last. */
    private String lastMethod = "";

    /** Whether bytes were read that are no message yet, so that a request has begun. */
    private boolean partRead;

    private boolean messageRead;
    private boolean reading;
    private boolean closing;
    private long lastActiveNanos;
    private ScheduledFuture<?> timer;

    /**
     * Creates the handler of one connection.
     *
     * @param account what the connection holds
     */
    FrontHandler(FrontContext front, HeaderAccount account) {
        this.front = front;
        this.account = account;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        account.onExpelled(this::end);
        front.state().onConnection(this);
        lastActiveNanos = System.nanoTime();
        scheduleIdleCheck();
    }

    /** Ends this connection because the process exits. */
    void endBeforeExit() {
        if (context == null) {
            return;
        }
        if (call != null && !reading) {
            call.endBeforeExit();
        } else if (call != null) {
            discardCall();
            rejectAndClose(new Rejection(RejectReason.STOPPING, RETRY_ELSEWHERE_MS));
        } else if (partRead && !closing) {
            rejectAndClose(new Rejection(RejectReason.STOPPING, RETRY_ELSEWHERE_MS));
        } else if (!closing) {
            context.close();
        }
    }

    /** Returns what an open request waits for; nothing if none is open. */
    Optional<String> waitingFor() {
        if (call == null) {
            return partRead ? Optional.of("head") : Optional.empty();
        }
        return Optional.of(reading ? "body" : call.waitingFor());
    }

    ChannelHandlerContext context() {
        return context;
    }

    private boolean isRelayed() {
        return front.relays().incoming();
    }

    private CallerLimits limits() {
        return front.catalogs().current().map(Catalog::limits).orElse(CallerLimits.DEFAULT);
    }

    private void scheduleIdleCheck() {
        long delayMs = reading ? limits().headerTimeoutMs() : limits().idleTimeoutMs() + IDLE_SLACK_MS;
        timer = context.executor().schedule(this::checkIdle, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
    }

    private void checkIdle() {
        long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActiveNanos);
        if (call == null && idleMs >= limits().idleTimeoutMs() + IDLE_SLACK_MS) {
            context.close();
            return;
        }
        if (reading && idleMs >= limits().idleTimeoutMs()) {
            context.close();
            return;
        }
        scheduleIdleCheck();
    }

    /**
     * Closes the connection if no request is open on it, after pending bytes are written. The request of another host is
     * about to come on a connection that it opened.
     */
    void closeIfIdle() {
        if (!isRelayed() && call == null && !partRead && !closing && queued.isEmpty() && context != null) {
            closing = true;
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastActiveNanos = System.nanoTime();
        messageRead = true;
        if (closing || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        boolean awaitingResponse = call != null && !reading;
        if (awaitingResponse) {
            if (queued.size() >= MAX_QUEUED_MESSAGES || isExpelled(part)) {
                ReferenceCountUtil.release(message);
                end();
                ctx.close();
                return;
            }
            queued.add(part);
            account.charge(queuedBytes(part));
            return;
        }
        onMessage(part);
    }

    private static boolean isExpelled(HttpObject message) {
        return message.decoderResult().cause() instanceof HeaderBudgetException;
    }

    private static long queuedBytes(HttpObject message) {
        long content = message instanceof HttpContent c ? c.content().readableBytes() : 0;
        return QUEUED_MESSAGE_BYTES + content;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        partRead = !messageRead;
        messageRead = false;
        ctx.fireChannelReadComplete();
    }

    private void onMessage(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                rejectMalformed(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                onRequest(request);
            }
            if (message instanceof HttpContent content && call != null && reading) {
                onContent(content);
            }
            if (message instanceof LastHttpContent last) {
                account.release(AccountedHeaders.forget(last.trailingHeaders()));
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof HeaderBudgetException) {
            rejectAndClose(new Rejection(RejectReason.OVERLOADED, RETRY_ELSEWHERE_MS));
            return;
        }
        boolean tooLong = cause instanceof TooLongFrameException;
        lastMethod = call == null ? "" : lastMethod;
        front.metrics().onMalformedRequest();
        rejectAndClose(Rejection.of(tooLong ? RejectReason.HEAD_TOO_LARGE : RejectReason.BAD_REQUEST));
    }

    private void onRequest(HttpRequest request) {
        if (!request.uri().startsWith("/")) {
            rejectAndClose(Rejection.of(RejectReason.BAD_REQUEST));
            return;
        }
        reading = true;
        lastMethod = request.method().name();
        call = new Call(this, front, request, System.nanoTime());
        callCharge = AccountedHeaders.forget(request.headers());
        front.state().onCallStarted(isRelayed());
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (call.bodyBytes() + bytes.readableBytes() > limits().maxBodyBytes()) {
            discardCall();
            rejectAndClose(Rejection.of(RejectReason.BODY_TOO_LARGE));
            return;
        }
        if (bytes.isReadable() && !call.addBody(bytes)) {
            discardCall();
            rejectAndClose(Rejection.of(RejectReason.OVERLOADED));
            return;
        }
        if (content instanceof LastHttpContent) {
            reading = false;
            call.start();
        }
    }

    private void discardCall() {
        call.discard();
        call = null;
        reading = false;
        account.release(callCharge);
        front.state().onCallEnded(isRelayed());
    }

    /**
     * Ends the current call after its last write and continues with the queued messages.
     *
     * @param keepAlive whether the connection serves further requests
     */
    void onCallEnded(boolean keepAlive) {
        call = null;
        account.release(callCharge);
        front.state().onCallEnded(isRelayed());
        lastActiveNanos = System.nanoTime();
        if (!keepAlive) {
            closing = true;
            return;
        }
        while (!closing && !queued.isEmpty() && (call == null || reading)) {
            HttpObject next = queued.poll();
            account.release(queuedBytes(next));
            onMessage(next);
        }
    }

    private void rejectAndClose(Rejection rejection) {
        closing = true;
        DefaultFullHttpResponse response = RejectionEncoder.encode(rejection, lastMethod);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
    }

    /** Ends what is under way on the connection, which has ended or is being closed. */
    private void end() {
        closing = true;
        front.state().onDisconnection(this);
        if (timer != null) {
            timer.cancel(false);
        }
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        if (call != null) {
            Call interrupted = call;
            call = null;
            front.state().onCallEnded(isRelayed());
            interrupted.onCallerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.onWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        front.metrics().onCallerConnectionError();
        if (!(cause instanceof IOException)) { // Callers may reset their connections at any time.
            front.exchanges()
                    .log()
                    .line(LogTopic.CALLER_CONNECTION)
                    .with("outcome", "closed after an unexpected error")
                    .with("reason", cause.toString())
                    .end();
        }
        ctx.close();
    }
}
