package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.crash.StoredCrashes;
import org.dragonflygw.core.crash.StoredSuspects;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.edge.log.GuardedTask;
import org.dragonflygw.platform.adapter.StoreApiCodec;
import org.dragonflygw.wire.codec.CrashRow;
import org.dragonflygw.wire.codec.CrashRowCodec;

/**
 * Applies the rows in which hosts keep what crashes endpoints, and writes the row of this host when its content
 * changes. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
final class SuspectRows implements TableListener {
    /** Interval at which this host checks whether its row has to be written, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 100;

    private static final long WRITE_TIMEOUT_MS = 1_000;

    private final String host;
    private final StoredSuspects stored;
    private final StoreClient client;
    private final StoreApiCodec storeCodec;
    private final EventLog log;
    private final InstantSource wallClock;
    private final CrashRowCodec rowCodec = new CrashRowCodec();
    private boolean read;
    private boolean writing;

    /** Creates the rows; nothing is written before {@link #start} and a first complete read. */
    SuspectRows(
            String host,
            StoredSuspects stored,
            StoreClient client,
            StoreApiCodec storeCodec,
            EventLog log,
            InstantSource wallClock) {
        this.host = host;
        this.stored = stored;
        this.client = client;
        this.storeCodec = storeCodec;
        this.log = log;
        this.wallClock = wallClock;
    }

    /** Starts to write the row of this host whenever its content changes. */
    void start(EventLoop loop) {
        GuardedTask task = new GuardedTask("write of the row of suspects", this::writeIfChanged, log);
        loop.scheduleWithFixedDelay(task, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Whether the rows were read completely at least once. */
    boolean isRead() {
        return read;
    }

    @Override
    public void onNewEra() {
        stored.onRowLost();
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        rows.forEach(this::apply);
        read = true;
        stored.onRowsRead();
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        rows.forEach(this::apply);
    }

    @Override
    public void onReadFailure() {
        // The follower logs the failure and reads again; what is known stays.
    }

    private void apply(VersionedRow row) {
        if (row.deleted()) {
            return;
        }
        try {
            CrashRow decoded = rowCodec.decode(row.data());
            long ageMs = Math.max(0, wallClock.millis() - decoded.writtenMs());
            stored.onRow(row.key(), decoded.content(), ageMs);
        } catch (CodedException e) {
            log.line(LogTopic.CRASH_SUSPECT)
                    .with("outcome", "unreadable row")
                    .with("row", row.key())
                    .with("reason", e.getMessage())
                    .end();
        }
    }

    private void writeIfChanged() {
        if (writing) {
            return;
        }
        Optional<StoredCrashes> content = stored.toWrite();
        content.ifPresent(this::write);
    }

    private void write(StoredCrashes content) {
        writing = true;
        byte[] data = rowCodec.encode(new CrashRow(wallClock.millis(), content));
        byte[] body = storeCodec.writeBody(StoreApiCodec.SUSPECT_TABLE, host, data);
        client.post(StoreApiCodec.TRANSACTION_PATH, body, WRITE_TIMEOUT_MS, response -> {
            writing = false;
            if (response.isOk()) {
                stored.onWritten(content);
            }
            log.line(LogTopic.CRASH_SUSPECT)
                    .with("outcome", response.isOk() ? "row written" : "row not written")
                    .with("requests", content.requests().size())
                    .with("promptParts", content.parts().size())
                    .with("reason", response.isOk() ? null : response.problem())
                    .end();
        });
    }
}
