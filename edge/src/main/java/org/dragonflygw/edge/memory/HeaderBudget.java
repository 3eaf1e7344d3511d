package org.dragonflygw.edge.memory;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Bounds the heap that the heads of all connections hold together: unfinished heads, those of open requests, trailers, and
 * requests that wait on their connection. A short line costs many times its length, so the lengths that single messages may
 * have bound little. When the budget is used up, the connections that hold the most are closed until a quarter of it is free;
 * ordinary heads hold so little that they come last. Used by the event loop only.
 */
public final class HeaderBudget {
    /** One part in so many of the heap is for heads. */
    private static final int HEAP_PARTS = 4;

    private final long maxBytes;
    private final long bytesAfterClosing;
    private final Runnable closingListener;
    private final EventLog log;
    private final Set<HeaderAccount> accounts = new LinkedHashSet<>();
    private long usedBytes;

    /**
     * Creates an unused budget.
     *
     * @param maxBytes estimated bytes of heap for all heads together
     * @param closingListener called for each connection that is closed
     */
    public HeaderBudget(long maxBytes, Runnable closingListener, EventLog log) {
        this.maxBytes = maxBytes;
        this.bytesAfterClosing = maxBytes - maxBytes / 4;
        this.closingListener = closingListener;
        this.log = log;
    }

    /** Returns the part of the heap of this process that heads may hold, in bytes. */
    public static long partOfHeap() {
        return Runtime.getRuntime().maxMemory() / HEAP_PARTS;
    }

    /** Returns the estimated bytes that are held. */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Opens the account of a connection, which is closed with it.
     *
     * @param kind whose connections these are, for the log
     */
    @SuppressWarnings("FutureReturnValueIgnored") // A failed close is reported as the end of the connection.
    public HeaderAccount open(String kind, Channel channel) {
        HeaderAccount account = new HeaderAccount(this, kind, channel::close);
        accounts.add(account);
        channel.closeFuture().addListener(closed -> account.close());
        return account;
    }

    void onClosed(HeaderAccount account) {
        accounts.remove(account);
    }

    void add(long bytes) {
        usedBytes += bytes;
    }

    long maxBytes() {
        return maxBytes;
    }

    /**
     * Closes the connections that hold the most if the budget is used up.
     *
     * @param decoding account whose message is being decoded and whose connection is left to the decoder's handler, or null
     */
    void makeRoom(HeaderAccount decoding) {
        if (usedBytes <= maxBytes) {
            return;
        }
        List<HeaderAccount> largestFirst = new ArrayList<>(accounts);
        largestFirst.sort(Comparator.comparingLong(HeaderAccount::bytes).reversed());
        for (HeaderAccount a : largestFirst) {
            if (usedBytes <= bytesAfterClosing) {
                return;
            }
            logClosing(a);
            closingListener.run();
            if (a == decoding) {
                a.close();
            } else {
                a.expel();
            }
        }
    }

    private void logClosing(HeaderAccount account) {
        log.line(LogTopic.HEADER_MEMORY)
                .with("outcome", "connection closed")
                .with("connection", account.kind())
                .with("heldBytes", account.bytes())
                .with("usedBytes", usedBytes)
                .with("maxBytes", maxBytes)
                .with("connections", accounts.size())
                .end();
    }
}
