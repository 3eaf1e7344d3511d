package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.io.InputStream;
import org.dragonflygw.wire.settings.RouterSettings;

/** Reads bodies of requests up to a bound. Safe from every thread. */
@Singleton
public final class BodyReader {
    private final int maxBytes;

    @Inject
    public BodyReader(RouterSettings settings) {
        this.maxBytes = settings.getMaxBodyBytes();
    }

    /**
     * Reads a whole body.
     *
     * @throws CallerException when it is too long or the caller breaks off
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
