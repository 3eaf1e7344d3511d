package org.dragonflygw.edge.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.exchange.EndpointProbe;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.edge.ops.EdgeMetrics;

/**
 * Opens a connection to an endpoint and closes it. Each endpoint is probed at a bounded rate, one probe at a time. Used by
 * the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A probe without a result changes nothing.
public final class ConnectProbe implements EndpointProbe {
    private static final int CONNECT_TIMEOUT_MS = 450;

    /**
     * Time for which a connection must stay open to show that the endpoint is alive, in milliseconds. What forwards
     * connections to an endpoint may accept them and close them at once.
     */
    private static final long OPEN_MS = 50;

    /** Least time between two probes of an endpoint, in milliseconds. An endpoint may break off many responses. */
    private static final long MIN_INTERVAL_MS = 250;

    /** Maximum number of endpoints whose last probe is remembered. */
    private static final int MAX_ENDPOINTS = 1_024;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final EdgeMetrics metrics;
    private final String reason;
    private final EventLog log;

    /** Time of the last or the next probe by instance of the endpoint, from {@link System#nanoTime()}. */
    private final Map<String, Long> probeNanos = new LinkedHashMap<>();

    /**
     * Creates a probe.
     *
     * @param reason why endpoints are probed, for the log
     */
    public ConnectProbe(EventLoopGroup group, EdgeMetrics metrics, String reason, EventLog log) {
        this.metrics = metrics;
        this.reason = reason;
        this.log = log;
        this.loop = group.next();
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Nothing is sent or read.
                    }
                });
    }

    @Override
    public void probe(DiscoveredEndpoint endpoint, Consumer<Result> listener) {
        long now = System.nanoTime();
        Long known = probeNanos.get(endpoint.instanceKey());
        if (known != null && known > now) {
            return; // The probe that is due tells the same.
        }
        long minInterval = TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MS);
        long delay = known == null ? 0 : Math.max(0, known + minInterval - now);
        probeNanos.put(endpoint.instanceKey(), now + delay);
        if (probeNanos.size() > MAX_ENDPOINTS) {
            probeNanos.remove(probeNanos.keySet().iterator().next());
        }
        if (delay == 0) {
            connect(endpoint, listener);
        } else {
            loop.schedule(() -> connect(endpoint, listener), delay, TimeUnit.NANOSECONDS);
        }
    }

    private void connect(DiscoveredEndpoint endpoint, Consumer<Result> listener) {
        metrics.onEndpointConnectionOpened();
        bootstrap.connect(endpoint.host(), endpoint.port()).addListener((ChannelFuture f) -> {
            if (f.isSuccess()) {
                loop.schedule(() -> onOpen(f.channel(), endpoint, listener), OPEN_MS, TimeUnit.MILLISECONDS);
                return;
            }
            boolean refused = f.cause() instanceof ConnectException && !(f.cause() instanceof ConnectTimeoutException);
            end(endpoint, refused ? Result.ENDED : Result.UNKNOWN, listener);
        });
    }

    private void onOpen(Channel channel, DiscoveredEndpoint endpoint, Consumer<Result> listener) {
        boolean open = channel.isActive();
        channel.close();
        end(endpoint, open ? Result.ALIVE : Result.UNKNOWN, listener);
    }

    private void end(DiscoveredEndpoint endpoint, Result result, Consumer<Result> listener) {
        log.line(LogTopic.ENDPOINT)
                .with("endpoint", endpoint.id())
                .with("outcome", "probed " + reason)
                .with("result", result.name())
                .end();
        listener.accept(result);
    }
}
