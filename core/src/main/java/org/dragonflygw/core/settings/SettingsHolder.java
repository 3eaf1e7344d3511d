package org.dragonflygw.core.settings;

/**
 * Holds the current settings. A change of the limits, the bandwidth or the store's address takes effect at their next
 * use; a change of the host's name, location or addresses takes effect at the next start. Thread-safe.
 */
public final class SettingsHolder {
    private volatile HostSettings current;

    /** Creates a holder with the settings that were read at the start. */
    public SettingsHolder(HostSettings settings) {
        current = settings;
    }

    /** The current settings. */
    public HostSettings current() {
        return current;
    }

    /** The current limits. */
    public HostBounds bounds() {
        return current.bounds();
    }

    /** Bandwidth of the host's network link in bytes per millisecond; 0 if unknown. */
    public double linkBytesPerMs() {
        return current.linkBytesPerMs();
    }

    /** Current address of the platform's store. */
    public HostAddress store() {
        return current.store();
    }

    /** Replaces the current settings, except those that cannot change while the process runs. */
    public synchronized SettingsChange offer(HostSettings next) {
        HostSettings before = current;
        if (next.equals(before)) {
            return SettingsChange.NONE;
        }
        current = new HostSettings(before.identity(), next.linkBytesPerMs(), next.store(), next.bounds());
        return next.identity().equals(before.identity())
                ? SettingsChange.IN_FORCE
                : SettingsChange.PARTLY_AT_NEXT_START;
    }
}
