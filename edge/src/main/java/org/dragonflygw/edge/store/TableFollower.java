package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.StoreCalls;

/**
 * Follows one table of the store: reads it in whole, then its changes, and in whole again when the store no longer
 * keeps the history that is missing. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failed writes and closes show as the end of the connection.
public final class TableFollower {
    private final FollowSettings settings;
    private final StoreCalls calls;
    private final StoreClient client;
    private final EventLoop loop;
    private final TableListener listener;
    private final EventLog log;

    private final List<VersionedRow> listing = new ArrayList<>();
    private boolean listed;
    private long version;
    private boolean reachable = true;
    private boolean stopped;

    /** Makes a follower; {@link #start} begins. */
    TableFollower(
            FollowSettings settings,
            StoreCalls calls,
            StoreClient client,
            EventLoop loop,
            TableListener listener,
            EventLog log) {
        this.settings = settings;
        this.calls = calls;
        this.client = client;
        this.loop = loop;
        this.listener = listener;
        this.log = log;
    }

    /** Begins to read. */
    public void start() {
        loop.execute(this::next);
    }

    /** Ends reading. */
    public void stop() {
        stopped = true;
    }

    private void next() {
        if (stopped) {
            return;
        }
        if (listed) {
            String path = calls.changesPath(settings.table(), version, settings.waitMs());
            client.get(path, settings.waitMs() + settings.timeoutMs(), this::onChanges);
            return;
        }
        listing.clear();
        list("");
    }

    private void list(String fromKey) {
        client.get(calls.listPath(settings.table(), fromKey), settings.timeoutMs(), this::onListing);
    }

    private void onListing(StoreAnswer answer) {
        if (!answer.ok()) {
            onFailure(answer.problem());
            return;
        }
        RowPage page = decode(answer);
        if (page == null) {
            return;
        }
        listing.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            list(page.rows().get(page.rows().size() - 1).key() + "\u0000");
            return;
        }
        version = page.newestVersion();
        listed = true;
        onReached();
        listener.onListing(List.copyOf(listing), answer.sentNanos());
        again(settings.pauseMs());
    }

    private void onChanges(StoreAnswer answer) {
        if (answer.status() == StoreCalls.STATUS_HISTORY_GONE) {
            listed = false;
            again(0);
            return;
        }
        if (!answer.ok()) {
            onFailure(answer.problem());
            return;
        }
        RowPage page = decode(answer);
        if (page == null) {
            return;
        }
        version = Math.max(version, page.newestVersion());
        onReached();
        listener.onChanges(page.rows(), answer.sentNanos());
        again(settings.pauseMs());
    }

    private RowPage decode(StoreAnswer answer) {
        try {
            return calls.decodePage(answer.body());
        } catch (CodedException e) {
            onFailure(e.getMessage());
            return null;
        }
    }

    private void onReached() {
        if (!reachable) {
            reachable = true;
            log.line(LogTopic.DEPENDENCY_REGAINED)
                    .with("dependency", "store")
                    .with("table", settings.table())
                    .end();
        }
    }

    private void onFailure(String problem) {
        if (reachable) {
            reachable = false;
            log.line(LogTopic.DEPENDENCY_LOST)
                    .with("dependency", "store")
                    .with("table", settings.table())
                    .with("reason", problem)
                    .end();
        }
        listener.onFailure();
        again(settings.retryMs());
    }

    private void again(long delayMs) {
        if (!stopped) {
            loop.schedule(this::next, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
