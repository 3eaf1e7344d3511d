package org.dragonflygw.core.config;

import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Decides when a daemon that has just started knows enough versions to serve. The newest accepted sheet must be in force
 * here, judged by the store together with a peer, or by several peers while the store is down, because the store may
 * serve an old answer and a single peer may lag. Once ready it stays ready. Safe from every thread; guarded by itself.
 */
public final class SheetReadiness {
    private static final int PEERS_WITH_STORE = 1;
    private static final int PEERS_WITHOUT_STORE = 3;

    private final ActiveSheetHolder holder;
    private final IntSupplier knownPeers;
    private final Set<String> peersHeard = new HashSet<>();
    private boolean storeHeard;
    private boolean ready;

    public SheetReadiness(ActiveSheetHolder holder, IntSupplier knownPeers) {
        this.holder = holder;
        this.knownPeers = knownPeers;
    }

    /** Notes that the store answered with its version, which the holder has learned. */
    public synchronized void onStoreAnswer() {
        storeHeard = true;
    }

    /** Notes that a peer told its version, which the holder has learned. */
    public synchronized void onPeerAnswer(String daemonId) {
        if (!ready) {
            peersHeard.add(daemonId);
        }
    }

    /** Whether a sheet is in force that is the newest as far as the sources can tell. */
    public synchronized boolean isReady() {
        if (!ready && holder.current().version().number() > 0) {
            ready = holder.pendingVersion().isEmpty() && enoughSources();
        }
        return ready;
    }

    private boolean enoughSources() {
        int peers = knownPeers.getAsInt();
        if (storeHeard) {
            return peersHeard.size() >= Math.min(PEERS_WITH_STORE, peers);
        }
        return !peersHeard.isEmpty() && peersHeard.size() >= Math.min(PEERS_WITHOUT_STORE, peers);
    }
}
