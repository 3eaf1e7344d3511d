package org.dragonflygw.core.config;

import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Decides when a newly started daemon has the newest accepted sheet in force and may serve requests. The daemon needs
 * the versions of the store and one peer, or of several peers while the store is down, because the store may return a
 * stale row and a single peer may lag. Once ready, the daemon stays ready. Thread-safe; guarded by its own monitor.
 */
public final class SheetReadiness {
    private static final int REQUIRED_PEERS_WITH_STORE = 1;
    private static final int REQUIRED_PEERS_WITHOUT_STORE = 3;

    private final ActiveSheetHolder holder;
    private final IntSupplier peerCount;
    private final Set<String> answeredPeers = new HashSet<>();
    private boolean storeAnswered;
    private boolean ready;

    /**
     * Creates a daemon's readiness, not ready yet.
     *
     * @param holder sheet in force and newest known version
     * @param peerCount supplies the number of other daemons in the fleet
     */
    public SheetReadiness(ActiveSheetHolder holder, IntSupplier peerCount) {
        this.holder = holder;
        this.peerCount = peerCount;
    }

    /** Notes that the store returned its version. The holder must have observed the version before. */
    public synchronized void onStoreAnswer() {
        storeAnswered = true;
    }

    /** Notes that a peer reported its version. The holder must have observed the version before. */
    public synchronized void onPeerAnswer(String daemonId) {
        if (!ready) {
            answeredPeers.add(daemonId);
        }
    }

    /** Whether a sheet is in force and enough sources confirm that it is the newest one. */
    public synchronized boolean isReady() {
        if (!ready && holder.current().version().number() > 0) {
            ready = holder.pendingVersion().isEmpty() && hasEnoughSources();
        }
        return ready;
    }

    private boolean hasEnoughSources() {
        int peers = peerCount.getAsInt();
        if (storeAnswered) {
            return answeredPeers.size() >= Math.min(REQUIRED_PEERS_WITH_STORE, peers);
        }
        return !answeredPeers.isEmpty() && answeredPeers.size() >= Math.min(REQUIRED_PEERS_WITHOUT_STORE, peers);
    }
}
