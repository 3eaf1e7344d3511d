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
 * Takes in the settings file when it has changed, at a signal or by looking at it now and then. A file that cannot be
 * read or decoded leaves the settings as they are and is logged once.
 */
final class SettingsReloader {
    private final Path file;
    private final SettingsDecoder decoder;
    private final SettingsHolder holder;
    private final EventLog log;
    private byte[] lastContent;

    /**
     * Makes a reload.
     *
     * @param seen bytes of the file at the start
     */
    SettingsReloader(Path file, byte[] seen, SettingsDecoder decoder, SettingsHolder holder, EventLog log) {
        this.file = file;
        this.lastContent = seen.clone();
        this.decoder = decoder;
        this.holder = holder;
        this.log = log;
    }

    /** Takes in the file at the platform's signal, and logs the outcome in any case. */
    synchronized void onSignal() {
        reload("signal", true);
    }

    /** Takes in the file if it has changed without a signal. */
    synchronized void reloadIfChanged() {
        reload("file", false);
    }

    private void reload(String cause, boolean always) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            if (always || lastContent.length > 0) {
                logRejected(cause, "the file cannot be read: " + e);
            }
            lastContent = new byte[0];
            return;
        }
        if (Arrays.equals(bytes, lastContent) && !always) {
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
