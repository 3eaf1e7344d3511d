package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.StoreApiCodec;
import org.dragonflygw.wire.codec.VersionRowCodec;

/**
 * The rows of the store that hold the software versions of each service, for processes that start. They are read once; the
 * hosts that read the store for the others write them when versions come or have gone. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
final class VersionRows {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Interval at which this host checks whether a row has to be written, and delay after a failed call. */
    private static final long CHECK_INTERVAL_MS = 1_000;

    private final SoftwareVersions versions;
    private final BooleanSupplier writer;
    private final StoreClient client;
    private final StoreApiCodec storeCodec;
    private final EventLoop loop;
    private final EventLog log;
    private final VersionRowCodec rowCodec = new VersionRowCodec();

    /**
     * Creates the rows; nothing is read before {@link #start}.
     *
     * @param writer whether this host writes for the others
     */
    VersionRows(
            SoftwareVersions versions,
            BooleanSupplier writer,
            StoreClient client,
            StoreApiCodec storeCodec,
            EventLoop loop,
            EventLog log) {
        this.versions = versions;
        this.writer = writer;
        this.client = client;
        this.storeCodec = storeCodec;
        this.loop = loop;
        this.log = log;
    }

    /** Reads the rows, and writes them from then on whenever they differ from what this host knows. */
    void start() {
        loop.execute(() -> read(""));
    }

    /** The store came back from a copy, which may lack what was written. */
    void onNewEra() {
        versions.onStoreLost();
    }

    private void read(String fromKey) {
        client.get(storeCodec.listPath(StoreApiCodec.VERSION_TABLE, fromKey), CALL_TIMEOUT_MS, this::onRead);
    }

    private void onRead(StoreResponse response) {
        if (!response.isOk()) {
            log("read failed", null, response.problem());
            loop.schedule(() -> read(""), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        try {
            RowPage page = storeCodec.decodePage(response.body());
            page.rows().forEach(this::apply);
            if (page.more() && !page.rows().isEmpty()) {
                read(page.rows().get(page.rows().size() - 1).key() + "\u0000");
                return;
            }
        } catch (CodedException e) {
            log("unreadable page", null, e.getMessage());
            loop.schedule(() -> read(""), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        } catch (RuntimeException e) {
            log.line(LogTopic.INTERNAL_ERROR)
                    .with("task", "read of the software versions")
                    .with("reason", e.toString())
                    .end();
            loop.schedule(() -> read(""), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        versions.onStoreRead();
        writeChanges();
    }

    private void apply(VersionedRow row) {
        try {
            versions.onStored(row.key(), new TreeSet<>(rowCodec.decode(row.data())));
        } catch (CodedException e) {
            log("unreadable row", row.key(), e.getMessage());
        }
    }

    private void writeChanges() {
        loop.schedule(this::writeChanges, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (writer.getAsBoolean()) {
            versions.toStore().forEach(this::write);
        }
    }

    private void write(String service, Set<String> current) {
        byte[] body = storeCodec.writeBody(StoreApiCodec.VERSION_TABLE, service, rowCodec.encode(current));
        client.post(StoreApiCodec.TRANSACTION_PATH, body, CALL_TIMEOUT_MS, response -> {
            if (response.isOk()) {
                versions.onStored(service, current);
            }
            log(response.isOk() ? "row written" : "row not written", service, response.problem());
        });
    }

    private void log(String outcome, String service, String reason) {
        log.line(LogTopic.VERSIONS)
                .with("outcome", outcome)
                .with("service", service)
                .with("reason", reason)
                .end();
    }
}
