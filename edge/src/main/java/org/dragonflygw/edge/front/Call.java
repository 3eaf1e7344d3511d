package org.dragonflygw.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.exchange.AttemptListener;
import org.dragonflygw.core.exchange.Dispatch;
import org.dragonflygw.core.exchange.Exchange;
import org.dragonflygw.core.exchange.ExchangeOutput;
import org.dragonflygw.core.exchange.ExchangeRequest;
import org.dragonflygw.core.exchange.HeaderField;
import org.dragonflygw.core.exchange.RejectReason;
import org.dragonflygw.core.exchange.Rejection;
import org.dragonflygw.core.exchange.RequestHead;
import org.dragonflygw.core.exchange.Resolution;
import org.dragonflygw.core.exchange.ResponseHead;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.routing.RoutingHash;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.upstream.EndpointRequest;
import org.dragonflygw.edge.upstream.RelayClient;
import org.dragonflygw.edge.upstream.RelayRequest;

/**
 * One request on a caller's connection. Collects the request, starts an {@link Exchange} for it and carries out the
 * exchange's decisions on the network. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
final class Call implements ExchangeOutput {
    /** Open requests that this host takes from other hosts, beside those of its own callers. */
    private static final int MAX_RELAYED_CALLS = 256;

    /** Least size of a part of a body that is kept in the buffer in which it was received, in bytes; smaller ones are copied. */
    private static final int MIN_KEPT_BYTES = 4_096;

    private final FrontHandler connection;
    private final FrontContext front;
    private final String method;
    private final String target;
    private final boolean keepAliveRequested;
    private final boolean http10;
    private final List<HeaderField> callerFields;
    private final RequestHead requestHead;
    private final long arrivedNanos;
    private final CompositeByteBuf body = Unpooled.compositeBuffer(256);

    private Optional<ExchangeRequest> request = Optional.empty();
    private Exchange exchange;
    private CallRelay relay;
    private String team = "";
    private ScheduledFuture<?> timer;
    private boolean chunked;
    private boolean sendTried;
    private boolean ended;
    private boolean released;

    Call(FrontHandler connection, FrontContext front, HttpRequest request, long arrivedNanos) {
        this.connection = connection;
        this.front = front;
        this.method = request.method().name();
        this.target = request.uri();
        this.keepAliveRequested = HttpUtil.isKeepAlive(request);
        this.http10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        this.callerFields = copy(request);
        this.requestHead = front.callerHeaders().decode(request.headers()::get, target);
        this.arrivedNanos = arrivedNanos;
    }

    private static List<HeaderField> copy(HttpRequest request) {
        List<HeaderField> copied = new ArrayList<>();
        for (Map.Entry<String, String> e : request.headers()) {
            copied.add(new HeaderField(e.getKey(), e.getValue()));
        }
        return copied;
    }

    long bodyBytes() {
        return body.readableBytes();
    }

    /** Adds a part of the body; returns false if this host has no memory left for request bodies. */
    boolean addBody(ByteBuf bytes) {
        if (!front.state().tryReserveBytes(bytes.readableBytes())) {
            return false;
        }
        body.addComponent(true, bytes.readableBytes() < MIN_KEPT_BYTES ? Unpooled.copiedBuffer(bytes) : bytes.retain());
        return true;
    }

    /** Handles the request, whose body is complete, now or as soon as this host can route it. */
    void start() {
        if (!front.startupHold().submit(this::startExchange)) {
            front.exchanges()
                    .log()
                    .line(LogTopic.HOLD)
                    .with("request", requestHead.attemptId())
                    .with("configVersion", front.catalogs().version())
                    .end();
        }
    }

    /** Routes the request and starts its exchange, or rejects it. */
    private void startExchange() {
        if (ended) {
            return; // The caller left while the request was held.
        }
        if (front.relays().incoming() && front.state().relayedCalls() > MAX_RELAYED_CALLS) {
            rejectUnrouted(RejectReason.OVERLOADED);
            return;
        }
        Resolution resolution = front.resolver().resolve(requestHead, arrivedNanos, contentHash());
        if (resolution.reason().isPresent()) {
            rejectUnrouted(resolution.reason().get());
            return;
        }
        request = resolution.request();
        ExchangeRequest resolved = request.orElseThrow();
        team = resolved.team();
        boolean lost = front.relays().paths().isLost(resolved.service().name());
        if (lost && front.relays().incoming()) {
            rejectUnrouted(RejectReason.UNREACHABLE);
            return;
        }
        if (lost && front.relays().peers().anyHost()) {
            relay();
            return;
        }
        exchange = new Exchange(resolved, front.exchanges(), this);
        exchange.start();
    }

    /** Passes the request, which no endpoint has received, to other hosts. */
    private void relay() {
        relay = new CallRelay(
                front,
                request.orElseThrow(),
                this::relayMessage,
                this,
                context().executor());
        relay.start();
    }

    private RelayRequest relayMessage(HostAddress host, long remainingMs) {
        List<HeaderField> header = front.endpointHeaders().encodeForHost(callerFields, remainingMs);
        return new RelayRequest(host, method, target, header, body.duplicate());
    }

    private boolean mayRelay(RejectReason reason) {
        boolean notReached = reason == RejectReason.UNREACHABLE || (sendTried && reason == RejectReason.NO_ENDPOINT);
        return notReached
                && exchange != null
                && relay == null
                && !front.relays().incoming()
                && front.relays().peers().anyHost();
    }

    /** Returns the hash by which the request is recognized when it comes again, with the team that the key belongs to. */
    private long contentHash() {
        long head = RoutingHash.of(method + ' ' + requestHead.host() + target);
        byte[] bytes = ByteBufUtil.getBytes(body, body.readerIndex(), body.readableBytes(), false);
        return RoutingHash.mix(head, RoutingHash.ofBytes(bytes));
    }

    private void rejectUnrouted(RejectReason reason) {
        front.exchanges()
                .log()
                .line(LogTopic.REFUSE)
                .with("request", requestHead.attemptId())
                .with("reason", reason.name())
                .with("hostHeader", requestHead.host())
                .with("path", requestHead.path())
                .with("configVersion", front.catalogs().version())
                .end();
        long retryAfterMs = reason.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                ? front.exchanges()
                        .retryAfterDelays()
                        .nextMs(requestHead.deadlineMs().orElse(0))
                : 0;
        reject(new Rejection(reason, retryAfterMs));
    }

    /** Ends the request because the process exits: with a response if none has begun. */
    void endBeforeExit() {
        if (relay != null) {
            relay.onStopping();
        } else if (exchange == null) {
            rejectUnrouted(RejectReason.STOPPING);
        } else {
            exchange.onStopping();
        }
    }

    /** Returns what the request waits for, for the log. */
    String waitingFor() {
        if (relay != null) {
            return "other host";
        }
        return exchange == null ? "start" : exchange.waitingFor();
    }

    /** Releases the body without sending a response. */
    void discard() {
        release();
    }

    void onCallerDisconnected() {
        ended = true;
        if (exchange != null) {
            exchange.onCallerDisconnected();
        }
        if (relay != null) {
            relay.cancel();
        }
        cancelTimer();
        release();
    }

    void onWritabilityChanged(boolean writable) {
        if (relay != null) {
            relay.setAutoRead(writable);
            return;
        }
        if (exchange == null) {
            return;
        }
        if (writable) {
            exchange.onOutputResumed();
        } else {
            exchange.onOutputPaused();
        }
    }

    @Override
    public Attempt send(Dispatch dispatch, AttemptListener listener) {
        sendTried = true;
        List<HeaderField> header = front.endpointHeaders().encode(callerFields, dispatch, team);
        front.metrics().onRequestSent();
        return front.pool()
                .send(
                        new EndpointRequest(
                                dispatch, requestHead.attemptId(), method, target, header, body.duplicate()),
                        listener);
    }

    @Override
    public void forwardHead(ResponseHead head) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
        head.fields().forEach(f -> response.headers().add(f.name(), f.value()));
        response.headers().remove(RelayClient.REJECT_REASON); // Only a host may state one.
        boolean bodiless = head.status() == HttpResponseStatus.NO_CONTENT.code()
                || head.status() == HttpResponseStatus.NOT_MODIFIED.code();
        if (head.contentLength() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.contentLength());
        } else if (!http10 && !bodiless) {
            chunked = true;
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        setConnectionHeader(response);
        context().write(response);
    }

    private void setConnectionHeader(HttpResponse response) {
        if (!isKeptAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private boolean isKeptAlive() {
        return keepAliveRequested && !http10 && !front.state().isStopping();
    }

    @Override
    public void forwardBody(byte[] bytes) {
        context().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (!context().channel().isWritable()) {
            onWritabilityChanged(false);
        }
    }

    @Override
    public void finish() {
        front.metrics().onResponseCompleted(System.nanoTime() - arrivedNanos);
        end(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abort() {
        front.metrics().onResponseAborted();
        ended = true;
        cancelTimer();
        release();
        if (!chunked) {
            context().channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        connection.onCallEnded(false);
        context().close();
    }

    @Override
    public void reject(Rejection rejection) {
        if (mayRelay(rejection.reason())) {
            relay();
            return;
        }
        front.metrics().onRejected(rejection.reason());
        DefaultFullHttpResponse response = RejectionEncoder.encode(rejection, method);
        if (front.relays().incoming()) {
            response.headers().set(RelayClient.REJECT_REASON, rejection.reason().name());
        }
        setConnectionHeader(response);
        end(response);
    }

    private void end(Object last) {
        if (ended) {
            return;
        }
        ended = true;
        cancelTimer();
        boolean keepAlive = isKeptAlive();
        front.state().onResponseEnding();
        var written = context().writeAndFlush(last);
        written.addListener(done -> front.state().onResponseWritten());
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        release();
        connection.onCallEnded(keepAlive);
    }

    @Override
    public void wakeAt(long nanos) {
        long delay = Math.max(0, nanos - System.nanoTime());
        if (timer != null && !timer.isDone()) {
            long remaining = timer.getDelay(TimeUnit.NANOSECONDS);
            if (remaining <= delay) {
                return; // The exchange asks for its next wake-up when the earlier one fires.
            }
            timer.cancel(false);
        }
        timer = context().executor().schedule(this::onTimer, delay, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        timer = null; // A task that runs is not done yet, so that it would count as the next wake-up.
        if (!ended) {
            exchange.onTimer();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void release() {
        if (!released) {
            released = true;
            front.state().releaseBytes(body.readableBytes());
            body.release();
        }
    }

    private ChannelHandlerContext context() {
        return connection.context();
    }
}
