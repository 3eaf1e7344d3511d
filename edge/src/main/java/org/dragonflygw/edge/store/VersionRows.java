package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StoredVersions;
import org.dragonflygw.core.resume.VersionKeeper;
import org.dragonflygw.core.resume.VersionStore;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.StoreApiCodec;
import org.dragonflygw.wire.codec.VersionRowCodec;

/** Reads and writes the rows of a {@link VersionKeeper} with calls to the store. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
final class VersionRows implements VersionStore {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Interval at which the keeper checks what is due, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 200;

    private final VersionKeeper keeper;
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
        this.keeper = new VersionKeeper(versions, writer, this, System::nanoTime, new SplittableRandom());
        this.client = client;
        this.storeCodec = storeCodec;
        this.loop = loop;
        this.log = log;
    }

    /** Reads the rows, and writes them from then on whenever they differ from what this host knows. */
    void start() {
        loop.execute(this::check);
    }

    private void check() {
        loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        keeper.check();
    }

    /** The store came back from a copy, which may lack what was written. */
    void onNewEra() {
        keeper.onNewEra();
    }

    @Override
    public void read(Consumer<Optional<StoredVersions>> listener) {
        readPage("", new HashMap<>(), listener);
    }

    private void readPage(String fromKey, Map<String, Set<String>> rows, Consumer<Optional<StoredVersions>> listener) {
        String path = storeCodec.listPath(StoreApiCodec.VERSION_TABLE, fromKey);
        client.get(path, CALL_TIMEOUT_MS, response -> onPage(response, rows, listener));
    }

    private void onPage(
            StoreResponse response, Map<String, Set<String>> rows, Consumer<Optional<StoredVersions>> listener) {
        if (!response.isOk()) {
            log("read failed", null, response.problem());
            listener.accept(Optional.empty());
            return;
        }
        RowPage page;
        try {
            page = storeCodec.decodePage(response.body());
        } catch (CodedException e) {
            log("unreadable page", null, e.getMessage());
            listener.accept(Optional.empty());
            return;
        } catch (RuntimeException e) {
            log.line(LogTopic.INTERNAL_ERROR)
                    .with("task", "read of the software versions")
                    .with("reason", e.toString())
                    .end();
            listener.accept(Optional.empty());
            return;
        }
        page.rows().forEach(r -> add(r, rows));
        if (page.more() && !page.rows().isEmpty()) {
            readPage(page.rows().get(page.rows().size() - 1).key() + "\u0000", rows, listener);
            return;
        }
        listener.accept(Optional.of(new StoredVersions(response.era(), rows)));
    }

    private void add(VersionedRow row, Map<String, Set<String>> rows) {
        if (row.deleted()) {
            return;
        }
        try {
            rows.put(row.key(), new TreeSet<>(rowCodec.decode(row.data())));
        } catch (CodedException e) {
            log("unreadable row", row.key(), e.getMessage());
        }
    }

    @Override
    public void write(String key, Set<String> versions, Consumer<Boolean> listener) {
        byte[] body = storeCodec.writeBody(StoreApiCodec.VERSION_TABLE, key, rowCodec.encode(versions));
        client.post(StoreApiCodec.TRANSACTION_PATH, body, CALL_TIMEOUT_MS, response -> {
            log(response.isOk() ? "row written" : "row not written", key, response.problem());
            listener.accept(response.isOk());
        });
    }

    private void log(String outcome, String row, String reason) {
        log.line(LogTopic.VERSIONS)
                .with("outcome", outcome)
                .with("service", row)
                .with("reason", reason)
                .end();
    }
}
