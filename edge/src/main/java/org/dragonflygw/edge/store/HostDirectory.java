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
import org.dragonflygw.platform.adapter.StoreCalls;

/**
 * Writes this host's address into the store and reads those of the others, once at the start: a host that comes later
 * finds this one and makes itself known by its reports. Both are tried again until they succeed.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop fails only with the loop.
public final class HostDirectory {
    private static final long TIMEOUT_MS = 1_000;

    /** Pause after a failure, in milliseconds. */
    private static final long RETRY_MS = 1_000;

    /** Pause between reads in milliseconds; finds hosts whose reports do not arrive. */
    private static final long READ_MS = 60_000;

    private final StoreClient client;
    private final StoreCalls calls;
    private final EventLoop loop;
    private final PeerTable peers;
    private final EventLog log;
    private final HostRowCodec codec = new HostRowCodec();

    HostDirectory(StoreClient client, StoreCalls calls, EventLoop loop, PeerTable peers, EventLog log) {
        this.client = client;
        this.calls = calls;
        this.loop = loop;
        this.peers = peers;
        this.log = log;
    }

    /** Writes this host's address, then reads those of the others. */
    public void start(String host, HostAddress address) {
        loop.execute(() -> write(host, address));
    }

    private void write(String host, HostAddress address) {
        byte[] body = calls.writeBody(StoreCalls.HOST_TABLE, host, codec.encode(address));
        client.post(StoreCalls.CHANGE_PATH, body, TIMEOUT_MS, answer -> {
            if (answer.ok()) {
                read();
                return;
            }
            logFailure("write", answer);
            loop.schedule(() -> write(host, address), RETRY_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void read() {
        client.get(calls.listPath(StoreCalls.HOST_TABLE, ""), TIMEOUT_MS, this::onRead);
    }

    private void onRead(StoreAnswer answer) {
        boolean taken = answer.ok() && take(answer);
        if (!answer.ok()) {
            logFailure("read", answer);
        }
        loop.schedule(this::read, taken ? READ_MS : RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private boolean take(StoreAnswer answer) {
        try {
            for (VersionedRow r : calls.decodePage(answer.body()).rows()) {
                codec.decode(r.data()).ifPresent(a -> peers.onHostListed(r.key(), a));
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

    private void logFailure(String call, StoreAnswer answer) {
        log.line(LogTopic.PEER)
                .with("outcome", call + " of the list of hosts failed")
                .with("reason", answer.problem())
                .end();
    }
}
