package org.dragonflygw.edge.front;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.exchange.ExchangeOutput;
import org.dragonflygw.core.exchange.ExchangeRequest;
import org.dragonflygw.core.exchange.RejectReason;
import org.dragonflygw.core.exchange.Rejection;
import org.dragonflygw.core.exchange.ResponseHead;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.upstream.RelayListener;
import org.dragonflygw.edge.upstream.RelayRequest;

/**
 * Passes a request that no endpoint has received to other hosts, one after the other, until one takes it, and the
 * response to the caller. Once a host may have received the request it is not passed to another one, unless that host
 * says that it was not run. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The loop ends with the process.
final class CallRelay implements RelayListener {
    /** Rejections of another host after which the next one is asked; the others hold for the whole fleet. */
    private static final Set<RejectReason> HOST_REASONS = EnumSet.of(
            RejectReason.UNREACHABLE,
            RejectReason.NO_ENDPOINT,
            RejectReason.NO_CONFIGURATION,
            RejectReason.NO_ROUTE,
            RejectReason.UNKNOWN_KEY,
            RejectReason.KEYS_UNCONFIRMED,
            RejectReason.OVERLOADED,
            RejectReason.STOPPING);

    private final FrontContext front;
    private final ExchangeRequest request;
    private final BiFunction<HostAddress, Long, RelayRequest> message;
    private final ExchangeOutput out;
    private final EventExecutor executor;

    private Queue<String> hosts = new ArrayDeque<>();
    private String host = "";
    private Attempt attempt;
    private ScheduledFuture<?> timer;
    private int tries;
    private boolean forwarding;
    private boolean ended;

    /**
     * Creates a relay that does nothing until {@link #start} is called.
     *
     * @param message makes the message to a host with the time that is left, in milliseconds
     */
    CallRelay(
            FrontContext front,
            ExchangeRequest request,
            BiFunction<HostAddress, Long, RelayRequest> message,
            ExchangeOutput out,
            EventExecutor executor) {
        this.front = front;
        this.request = request;
        this.message = message;
        this.out = out;
        this.executor = executor;
    }

    /** Asks the first host, or rejects the request if there is none to ask. */
    void start() {
        hosts = new ArrayDeque<>(front.relays().peers().candidates(service()));
        long leftNanos = Math.max(0, request.expiryNanos() - System.nanoTime());
        timer = executor.schedule(this::onExpiry, leftNanos, TimeUnit.NANOSECONDS);
        askNext();
    }

    private String service() {
        return request.service().name();
    }

    private long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(request.expiryNanos() - System.nanoTime()));
    }

    private void askNext() {
        attempt = null;
        Optional<HostAddress> address = Optional.empty();
        while (address.isEmpty() && !hosts.isEmpty()) {
            host = hosts.poll();
            address = front.relays().addresses().apply(host);
        }
        long leftMs = remainingMs();
        if (address.isEmpty() || leftMs == 0) {
            log("no host left");
            end();
            long retryAfterMs = front.exchanges().retryAfterDelays().nextMs(leftMs);
            out.reject(new Rejection(RejectReason.UNREACHABLE, retryAfterMs));
            return;
        }
        tries++;
        log("asked");
        front.metrics().onRelayed();
        attempt = front.relays().client().send(message.apply(address.get(), leftMs), this);
    }

    @Override
    public void onRelayedHead(ResponseHead head, String rejectReason) {
        if (ended) {
            return;
        }
        if (isHostReason(rejectReason)) {
            log(rejectReason);
            attempt.cancel();
            front.relays().peers().onFailed(service(), host);
            askNext();
            return;
        }
        if (rejectReason.isEmpty()) {
            front.relays().peers().onServed(service(), host);
        }
        forwarding = true;
        log(rejectReason.isEmpty() ? "answered with " + head.status() : rejectReason);
        out.forwardHead(head);
    }

    private static boolean isHostReason(String reason) {
        return HOST_REASONS.stream().anyMatch(r -> r.name().equals(reason));
    }

    @Override
    public void onRelayedBody(byte[] bytes) {
        if (!ended && forwarding) {
            out.forwardBody(bytes);
        }
    }

    @Override
    public void onRelayComplete() {
        if (!ended && forwarding) {
            end();
            out.finish();
        }
    }

    @Override
    public void onRelayFailed(boolean sent) {
        if (ended) {
            return;
        }
        log(sent ? "connection lost" : "not reached");
        front.relays().peers().onFailed(service(), host);
        if (sent) {
            fail(RejectReason.ENDPOINT_FAILED);
        } else {
            askNext();
        }
    }

    private void onExpiry() {
        if (!ended) {
            log("timeout");
            fail(RejectReason.TIMED_OUT);
        }
    }

    /** Ends the request because the process exits. */
    void onStopping() {
        if (!ended) {
            log("process exits");
            fail(RejectReason.ENDPOINT_FAILED);
        }
    }

    /** Ends a request that may have run. */
    private void fail(RejectReason reason) {
        cancel();
        if (forwarding) {
            out.abort();
        } else {
            out.reject(new Rejection(reason, 0));
        }
    }

    /** Stops because nobody waits for the response any more. */
    void cancel() {
        end();
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
    }

    private void end() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Reads the response on, or not while the caller reads slowly. */
    void setAutoRead(boolean enabled) {
        if (attempt != null) {
            attempt.setAutoRead(enabled);
        }
    }

    private void log(String outcome) {
        LogLine line = front.exchanges().log().line(LogTopic.RELAY);
        line.with("request", request.id())
                .with("service", service())
                .with("peer", host)
                .with("outcome", outcome)
                .with("tries", tries)
                .with("remainingMs", remainingMs())
                .end();
    }
}
