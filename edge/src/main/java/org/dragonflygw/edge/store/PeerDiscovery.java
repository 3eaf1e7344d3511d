package org.dragonflygw.edge.store;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.HostRowCodec;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * Writes this host's address into the store and reads those of the others, once at the start: a host that comes later
 * finds this one and makes itself known by its reports. Both are tried again until they succeed.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop fails only with the loop.
public final class PeerDiscovery {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Pause after a failure, in milliseconds. */
    private static final long RETRY_DELAY_MS = 1_000;

    /** Pause between reads in milliseconds; finds hosts whose reports do not arrive. */
    private static final long READ_INTERVAL_MS = 60_000;

    private final StoreClient client;
    private final StoreApiCodec codec;
    private final EventLoop loop;
    private final PeerTable peers;
    private final EventLog log;
    private final HostRowCodec rowCodec = new HostRowCodec();

    PeerDiscovery(StoreClient client, StoreApiCodec calls, EventLoop loop, PeerTable peers, EventLog log) {
        this.client = client;
        this.codec = calls;
        this.loop = loop;
        this.peers = peers;
        this.log = log;
    }

    /** Writes this host's address, then reads those of the others. */
    public void start(String host, HostAddress address) {
        loop.execute(() -> write(host, address));
    }

    private void write(String host, HostAddress address) {
        byte[] body = codec.writeBody(StoreApiCodec.HOST_TABLE, host, rowCodec.encode(address));
        client.post(StoreApiCodec.TRANSACTION_PATH, body, CALL_TIMEOUT_MS, answer -> {
            if (answer.isOk()) {
                read();
                return;
            }
            logFailure("write", answer);
            loop.schedule(() -> write(host, address), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void read() {
        client.get(codec.listPath(StoreApiCodec.HOST_TABLE, ""), CALL_TIMEOUT_MS, this::onRead);
    }

    private void onRead(StoreResponse answer) {
        boolean taken = answer.isOk() && decode(answer);
        if (!answer.isOk()) {
            logFailure("read", answer);
        }
        loop.schedule(this::read, taken ? READ_INTERVAL_MS : RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private boolean decode(StoreResponse answer) {
        try {
            for (VersionedRow r : codec.decodePage(answer.body()).rows()) {
                rowCodec.decode(r.data()).ifPresent(a -> peers.onHostListed(r.key(), a));
            }
            return true;
        } catch (CodedException e) {
            log.line(LogTopic.PEER)
                    .with("outcome", "unreadable list of hosts")
                    .with("reason", e.getMessage())
                    .end();
            return false;
        }
    }

    private void logFailure(String call, StoreResponse answer) {
        log.line(LogTopic.PEER)
                .with("outcome", call + " of the list of hosts failed")
                .with("reason", answer.problem())
                .end();
    }
}
