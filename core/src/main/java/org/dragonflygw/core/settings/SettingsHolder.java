package org.dragonflygw.core.settings;

/**
 * The settings in force. A change of the bounds or of the store's address holds from the next use; a change of the
 * host's name, place or addresses waits for the next start. Safe for use by several threads.
 */
public final class SettingsHolder {
    private volatile HostSettings current;

    /** Makes a holder of the settings at the start. */
    public SettingsHolder(HostSettings settings) {
        current = settings;
    }

    /** The settings in force. */
    public HostSettings current() {
        return current;
    }

    /** The bounds in force. */
    public HostBounds bounds() {
        return current.bounds();
    }

    /** Bandwidth of the host's link in bytes a millisecond, 0 if it is not known. */
    public double linkBytesPerMs() {
        return current.linkBytesPerMs();
    }

    /** Address of the store in force. */
    public HostAddress store() {
        return current.store();
    }

    /** Brings new settings into force as far as a running process can. */
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
