package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.HostRowCodec;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * Registers this host's address in the store and reads the addresses of the other hosts. The address is written once at
 * the start; a host that starts later finds this one in the table and becomes known here by its reports. Both calls are
 * retried until they succeed, and the table is read again every {@link #READ_INTERVAL_MS}.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
public final class PeerDiscovery {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MS = 1_000;

    /** Delay after an unexpected error, in milliseconds. The same row may cause it again. */
    private static final long ERROR_DELAY_MS = 5_000;

    /** Delay between reads, in milliseconds. Repeated reads find hosts whose reports do not arrive. */
    private static final long READ_INTERVAL_MS = 60_000;

    private final StoreClient client;
    private final StoreApiCodec codec;
    private final EventLoop loop;
    private final PeerTable peers;
    private final EventLog log;
    private final HostRowCodec rowCodec = new HostRowCodec();
    private boolean calling;
    private Runnable afterCall;
    private ScheduledFuture<?> next;

    PeerDiscovery(StoreClient client, StoreApiCodec codec, EventLoop loop, PeerTable peers, EventLog log) {
        this.client = client;
        this.codec = codec;
        this.loop = loop;
        this.peers = peers;
        this.log = log;
    }

    /**
     * Writes this host's address, then reads the addresses of the other hosts. Called again when the store came back from
     * a copy, which may lack this host.
     */
    public void register(String host, HostAddress address) {
        loop.execute(() -> {
            if (calling) {
                afterCall = () -> write(host, address);
                return;
            }
            write(host, address);
        });
    }

    /** Records the end of a call; returns whether another registration was requested meanwhile, and starts it. */
    private boolean endCall() {
        calling = false;
        Runnable requested = afterCall;
        afterCall = null;
        if (requested != null) {
            requested.run();
        }
        return requested != null;
    }

    private void write(String host, HostAddress address) {
        calling = true;
        byte[] body = codec.writeBody(StoreApiCodec.HOST_TABLE, host, rowCodec.encode(address));
        client.post(StoreApiCodec.TRANSACTION_PATH, body, CALL_TIMEOUT_MS, response -> {
            if (endCall()) {
                return;
            }
            if (response.isOk()) {
                read("");
                return;
            }
            logFailure("write", response);
            schedule(() -> register(host, address), RETRY_DELAY_MS);
        });
    }

    private void read(String fromKey) {
        calling = true;
        client.get(codec.listPath(StoreApiCodec.HOST_TABLE, fromKey), CALL_TIMEOUT_MS, this::onRead);
    }

    private void onRead(StoreResponse response) {
        if (endCall()) {
            return;
        }
        if (!response.isOk()) {
            logFailure("read", response);
            readAgainIn(RETRY_DELAY_MS);
            return;
        }
        try {
            addPeers(codec.decodePage(response.body()));
        } catch (CodedException e) {
            log.line(LogTopic.PEER)
                    .with("outcome", "unreadable list of hosts")
                    .with("reason", e.getMessage())
                    .end();
            readAgainIn(RETRY_DELAY_MS);
        } catch (RuntimeException e) {
            log.line(LogTopic.INTERNAL_ERROR)
                    .with("task", "read of the list of hosts")
                    .with("reason", e.toString())
                    .end();
            readAgainIn(ERROR_DELAY_MS);
        }
    }

    private void addPeers(RowPage page) {
        for (VersionedRow r : page.rows()) {
            rowCodec.decode(r.data()).ifPresent(a -> peers.onHostListed(r.key(), a));
        }
        if (page.more() && !page.rows().isEmpty()) {
            read(page.rows().get(page.rows().size() - 1).key() + "\u0000");
            return;
        }
        peers.onListComplete();
        readAgainIn(READ_INTERVAL_MS);
    }

    private void readAgainIn(long delayMs) {
        schedule(() -> read(""), delayMs);
    }

    private void schedule(Runnable task, long delayMs) {
        if (next != null) {
            next.cancel(false);
        }
        next = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void logFailure(String call, StoreResponse response) {
        log.line(LogTopic.PEER)
                .with("outcome", call + " of the list of hosts failed")
                .with("reason", response.problem())
                .end();
    }
}
