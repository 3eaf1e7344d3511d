package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.core.storenews.FollowedTable;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * Follows one table of the store: reads it in whole, then its changes, and in whole again when the store no longer
 * keeps the history that is missing. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failed writes and closes show as the end of the connection.
public final class TableFollower implements FollowedTable {
    private final TableFollowerSettings settings;
    private final StoreApiCodec codec;
    private final StoreClient client;
    private final EventLoop loop;
    private final TableListener listener;
    private final EventLog log;

    private final List<VersionedRow> listing = new ArrayList<>();
    private boolean listed;
    private long version;
    private final Runnable afterRead;
    private boolean isReachable = true;
    private boolean reading;
    private boolean readRequestedByNews;
    private long asOfNanos;
    private ScheduledFuture<?> nextCheck;

    /** Makes a follower; {@link #start} begins. */
    TableFollower(
            TableFollowerSettings settings,
            StoreApiCodec calls,
            StoreClient client,
            EventLoop loop,
            TableListener listener,
            EventLog log,
            Runnable afterRead) {
        this.settings = settings;
        this.codec = calls;
        this.client = client;
        this.loop = loop;
        this.listener = listener;
        this.log = log;
        this.afterRead = afterRead;
    }

    /** Begins to read. */
    public void start() {
        loop.execute(this::read);
    }

    @Override
    public boolean listed() {
        return listed;
    }

    @Override
    public long version() {
        return version;
    }

    /** Whether the last read was answered. */
    public boolean isReachable() {
        return isReachable;
    }

    /** Age of what is known, in milliseconds; -1 if nothing is. */
    public long ageMs() {
        return listed ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asOfNanos) : -1;
    }

    @Override
    public void markFresh(long upTo, long asOf) {
        version = Math.max(version, upTo);
        asOfNanos = Math.max(asOfNanos, asOf);
    }

    @Override
    public void readNow() {
        if (!reading) {
            readRequestedByNews = true;
            read();
        }
    }

    private void check() {
        if (reading) {
            return;
        }
        long delayMs = listed ? settings.schedule().delayMs(ageMs()) : 0;
        if (delayMs <= 0) {
            read();
            return;
        }
        scheduleCheck(delayMs);
    }

    private void read() {
        reading = true;
        if (listed) {
            long waitMs = settings.schedule().longPollMs();
            String path = codec.changesPath(settings.table(), version, waitMs);
            client.get(path, waitMs + settings.timeoutMs(), this::onChanges);
            return;
        }
        listing.clear();
        readListing("");
    }

    private void readListing(String fromKey) {
        client.get(codec.listPath(settings.table(), fromKey), settings.timeoutMs(), this::onListing);
    }

    private void onListing(StoreResponse answer) {
        if (!answer.isOk()) {
            onFailure(answer.problem());
            return;
        }
        RowPage page = decode(answer);
        if (page == null) {
            return;
        }
        listing.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            readListing(page.rows().get(page.rows().size() - 1).key() + "\u0000");
            return;
        }
        version = page.newestVersion();
        listed = true;
        onSuccess(answer);
        listener.onListing(List.copyOf(listing), version, answer.sentNanos());
        notifyAfterRead();
        check();
    }

    private void onChanges(StoreResponse answer) {
        if (answer.status() == StoreApiCodec.STATUS_HISTORY_GONE) {
            listed = false;
            read();
            return;
        }
        if (!answer.isOk()) {
            onFailure(answer.problem());
            return;
        }
        RowPage page = decode(answer);
        if (page == null) {
            return;
        }
        version = Math.max(version, page.newestVersion());
        onSuccess(answer);
        listener.onChanges(page.rows(), answer.sentNanos());
        notifyAfterRead();
        check();
    }

    /** The others know of what this host read because one of them told it. */
    private void notifyAfterRead() {
        if (!readRequestedByNews) {
            afterRead.run();
        }
        readRequestedByNews = false;
    }

    private RowPage decode(StoreResponse answer) {
        try {
            return codec.decodePage(answer.body());
        } catch (CodedException e) {
            onFailure(e.getMessage());
            return null;
        }
    }

    private void onSuccess(StoreResponse answer) {
        reading = false;
        asOfNanos = Math.max(asOfNanos, answer.sentNanos());
        if (!isReachable) {
            isReachable = true;
            log.line(LogTopic.DEPENDENCY_REGAINED)
                    .with("dependency", "store")
                    .with("table", settings.table())
                    .end();
        }
    }

    private void onFailure(String problem) {
        if (isReachable) {
            isReachable = false;
            log.line(LogTopic.DEPENDENCY_LOST)
                    .with("dependency", "store")
                    .with("table", settings.table())
                    .with("reason", problem)
                    .end();
        }
        listener.onReadFailure();
        reading = false;
        scheduleCheck(settings.retryMs());
    }

    private void scheduleCheck(long delayMs) {
        if (nextCheck != null) {
            nextCheck.cancel(false);
        }
        nextCheck = loop.schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
    }
}
