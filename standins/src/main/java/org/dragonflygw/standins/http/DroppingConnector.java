package org.dragonflygw.standins.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SelectableChannelEndPoint;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connector that closes every connection it accepted when it stops. Jetty's own closes only those that its selectors
 * know: one accepted while the selectors stop would stay open, and nobody would read it.
 */
final class DroppingConnector extends ServerConnector {
    private final Set<SelectableChannel> open = new HashSet<>();
    private boolean stopping;

    DroppingConnector(Server server, int acceptors, int selectors, HttpConnectionFactory connections) {
        super(server, acceptors, selectors, connections);
    }

    @Override
    protected SelectorManager newSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
        return new TrackingManager(executor, scheduler, selectors);
    }

    @Override
    protected void doStart() throws Exception {
        synchronized (open) {
            stopping = false;
        }
        super.doStart();
    }

    @Override
    protected void doStop() throws Exception {
        synchronized (open) {
            stopping = true;
        }
        super.doStop();
        synchronized (open) {
            open.forEach(DroppingConnector::close);
            open.clear();
        }
    }

    private boolean admit(SelectableChannel channel) {
        synchronized (open) {
            return !stopping && open.add(channel);
        }
    }

    private void forget(SelectableChannel channel) {
        synchronized (open) {
            open.remove(channel);
        }
    }

    private static void close(SelectableChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private final class TrackingManager extends ServerConnectorManager {
        TrackingManager(Executor executor, Scheduler scheduler, int selectors) {
            super(executor, scheduler, selectors);
        }

        @Override
        public void accept(SelectableChannel channel, Object attachment) {
            if (admit(channel)) {
                super.accept(channel, attachment);
            } else {
                close(channel);
            }
        }

        @Override
        protected void endPointClosed(EndPoint endPoint) {
            forget(((SelectableChannelEndPoint) endPoint).getChannel());
            super.endPointClosed(endPoint);
        }
    }
}
