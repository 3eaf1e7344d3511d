package org.dragonflygw.core.resume;

import java.util.Optional;

/**
 * Where a stream may go on, with what decided it.
 *
 * @param origin where the stream began; empty if that is not known, so that it may go on nowhere
 * @param source what told it
 * @param peer host that told it, empty if none did
 * @param asked number of hosts that were asked
 */
public record OriginDecision(Optional<StreamOrigin> origin, Source source, String peer, int asked) {
    /** What tells where a stream began. */
    public enum Source {
        /** This host sent the first event, or was told when it went out. */
        OWN_RECORD,
        /** Another host knew. */
        PEER,
        /** The service has had one version only for as long as streams last. */
        ONLY_VERSION,
        /** Nobody knew. */
        NONE
    }
}
