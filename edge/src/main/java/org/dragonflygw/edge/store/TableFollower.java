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
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.core.storenews.TableProgress;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * Follows one table of the store: reads the whole table once, then its changes. Reads the whole table again when the
 * store no longer keeps the changes since the last read. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
public final class TableFollower implements FollowedTable {
    /**
     * Delay in milliseconds after an unexpected error. The whole table is read again then, since it is unknown which rows
     * were applied.
     */
    private static final long ERROR_DELAY_MS = 1_000;

    private final TableFollowerSettings settings;
    private final StoreApiCodec codec;
    private final StoreClient client;
    private final EventLoop loop;
    private final TableListener listener;
    private final EventLog log;

    private final List<VersionedRow> listing = new ArrayList<>();
    private final TableProgress progress;
    private final Runnable afterRead;
    private boolean reachable = true;
    private boolean reading;
    private boolean readRequestedByNews;
    private ScheduledFuture<?> nextCheck;

    /** Creates a follower that does not read before {@link #start}. */
    TableFollower(
            TableFollowerSettings settings,
            StoreApiCodec codec,
            StoreClient client,
            EventLoop loop,
            TableListener listener,
            StoreEra era,
            EventLog log,
            Runnable afterRead) {
        this.settings = settings;
        this.codec = codec;
        this.client = client;
        this.loop = loop;
        this.listener = listener;
        this.progress = new TableProgress(era);
        this.log = log;
        this.afterRead = afterRead;
    }

    /** Starts to read the table. */
    public void start() {
        loop.execute(this::read);
    }

    @Override
    public boolean listed() {
        return progress.listed();
    }

    @Override
    public long version() {
        return progress.version();
    }

    /** Returns whether the last read succeeded. */
    public boolean isReachable() {
        return reachable;
    }

    /** Returns the age of the known rows in milliseconds, or -1 if the table has not been read yet. */
    public long ageMs() {
        return listed() ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progress.asOfNanos()) : -1;
    }

    @Override
    public void markFresh(long upTo, long asOf) {
        progress.advance(upTo, asOf);
    }

    @Override
    public void readNow() {
        if (!reading) {
            readRequestedByNews = true;
            read();
        }
    }

    /** Reads the whole table again, because the store came back from a copy. */
    void onNewEra() {
        listener.onNewEra();
        readNow();
    }

    private void check() {
        if (reading) {
            return;
        }
        long delayMs = listed() ? settings.schedule().delayMs(ageMs()) : 0;
        if (delayMs <= 0) {
            read();
            return;
        }
        scheduleCheck(delayMs);
    }

    private void read() {
        reading = true;
        progress.onReadSent();
        if (listed()) {
            long waitMs = settings.schedule().longPollMs();
            String path = codec.changesPath(settings.table(), version(), waitMs);
            client.get(path, waitMs + settings.timeoutMs(), r -> guard(() -> onChanges(r)));
            return;
        }
        listing.clear();
        readListing("");
    }

    private void readListing(String fromKey) {
        client.get(codec.listPath(settings.table(), fromKey), settings.timeoutMs(), r -> guard(() -> onListing(r)));
    }

    /** Handles a response; an unexpected error, for example about one row, must not end the reads of the table. */
    private void guard(Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException e) {
            log.line(LogTopic.INTERNAL_ERROR)
                    .with("task", "read of table " + settings.table())
                    .with("reason", e.toString())
                    .end();
            progress.requireListing();
            reading = false;
            scheduleCheck(ERROR_DELAY_MS);
        }
    }

    private void onListing(StoreResponse response) {
        if (!response.isOk()) {
            onFailure(response.problem());
            return;
        }
        if (!progress.accepts(response.era())) {
            readAgainLater();
            return;
        }
        RowPage page = decode(response);
        if (page == null) {
            return;
        }
        listing.addAll(page.rows());
        if (!progress.onListingPage(page, response.sentNanos())) {
            readListing(page.rows().get(page.rows().size() - 1).key() + "\u0000");
            return;
        }
        onSuccess();
        listener.onListing(List.copyOf(listing), version(), response.sentNanos());
        readRequestedByNews = false; // A listing holds no changes that peers could apply, so it is not announced.
        check();
    }

    private void onChanges(StoreResponse response) {
        if (response.status() != 0 && !progress.accepts(response.era())) {
            readAgainLater();
            return;
        }
        if (response.status() == StoreApiCodec.STATUS_HISTORY_GONE) {
            progress.requireListing();
            read();
            return;
        }
        if (!response.isOk()) {
            onFailure(response.problem());
            return;
        }
        RowPage page = decode(response);
        if (page == null) {
            return;
        }
        List<VersionedRow> newer = progress.onChanges(page, response.sentNanos());
        onSuccess();
        listener.onChanges(newer, response.sentNanos());
        notifyAfterRead();
        check();
    }

    /** Runs the callback unless a peer's news requested the read: then the peers know the change already. */
    private void notifyAfterRead() {
        if (!readRequestedByNews) {
            afterRead.run();
        }
        readRequestedByNews = false;
    }

    private RowPage decode(StoreResponse response) {
        try {
            return codec.decodePage(response.body());
        } catch (CodedException e) {
            onFailure(e.getMessage());
            return null;
        }
    }

    /** Drops a response of another era of the store than the current one, and reads the whole table after a delay. */
    private void readAgainLater() {
        reading = false;
        scheduleCheck(settings.retryMs());
    }

    private void onSuccess() {
        reading = false;
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
