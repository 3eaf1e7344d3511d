package org.dragonflygw.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.SettingsChange;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.platform.adapter.SettingsDecoder;

/**
 * Reloads the settings file on a signal, or when a periodic check finds that the content has changed. A file that
 * cannot be read or decoded leaves the settings unchanged and is logged once, and again on each signal.
 */
final class SettingsReloader {
    private final Path file;
    private final SettingsDecoder decoder;
    private final SettingsHolder holder;
    private final EventLog log;
    private byte[] lastContent;

    /**
     * Creates a reloader.
     *
     * @param initialContent bytes of the file that the holder's settings were decoded from
     */
    SettingsReloader(Path file, byte[] initialContent, SettingsDecoder decoder, SettingsHolder holder, EventLog log) {
        this.file = file;
        this.lastContent = initialContent.clone();
        this.decoder = decoder;
        this.holder = holder;
        this.log = log;
    }

    /** Reloads the file on the platform's signal, and logs the outcome even if the file has not changed. */
    synchronized void onSignal() {
        reload("signal", true);
    }

    /** Reloads the file if its content has changed since it was last read. */
    synchronized void reloadIfChanged() {
        reload("file", false);
    }

    private void reload(String cause, boolean force) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            if (force || lastContent.length > 0) {
                logRejected(cause, "the settings file cannot be read: " + e);
            }
            lastContent = new byte[0];
            return;
        }
        if (Arrays.equals(bytes, lastContent) && !force) {
            return;
        }
        lastContent = bytes;
        apply(cause, bytes);
    }

    private void apply(String cause, byte[] bytes) {
        HostSettings next;
        try {
            next = decoder.decode(bytes);
        } catch (CodedException e) {
            logRejected(cause, e.getMessage());
            return;
        }
        SettingsChange change = holder.offer(next);
        HostBounds bounds = holder.bounds();
        log.line(LogTopic.RELOAD)
                .with("cause", cause)
                .with("outcome", change.name())
                .with("store", holder.store().toString())
                .with("drainMs", bounds.drainMs())
                .with("configApplyMs", bounds.configApplyMs())
                .with("revokeMs", bounds.revokeMs())
                .with("graceMs", bounds.graceMs())
                .end();
    }

    private void logRejected(String cause, String reason) {
        log.line(LogTopic.RELOAD)
                .with("cause", cause)
                .with("outcome", "REJECTED")
                .with("reason", reason)
                .end();
    }
}
