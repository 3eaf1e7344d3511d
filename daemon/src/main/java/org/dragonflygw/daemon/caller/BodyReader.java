package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.io.InputStream;
import org.dragonflygw.wire.settings.RouterSettings;

/** Reads request bodies up to the maximum size of the settings. Thread-safe. */
@Singleton
public final class BodyReader {
    private final int maxBytes;

    @Inject
    public BodyReader(RouterSettings settings) {
        this.maxBytes = settings.getMaxBodyBytes();
    }

    /**
     * Reads a complete body.
     *
     * @throws CallerException when the body is too long, or ends early because the caller disconnected
     */
    public byte[] read(InputStream body) {
        byte[] content;
        try {
            content = body.readNBytes(maxBytes + 1);
        } catch (IOException e) {
            throw CallerException.notRun(CallerCode.INVALID_BODY, "the body ended early", 0);
        }
        if (content.length > maxBytes) {
            throw CallerException.notRun(
                    CallerCode.BODY_TOO_LARGE, "the body is longer than " + maxBytes + " bytes", 0);
        }
        return content;
    }
}
