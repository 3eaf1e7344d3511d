package org.dragonflygw.core.resume;

import java.util.Optional;

/**
 * What a host knows of the beginning of a stream.
 *
 * @param origin where the stream began, if the host knows
 * @param onlyVersion the only software version that the service has had for as long as streams last, if the host is sure
 * @param severalVersions whether the service has had several software versions in that time
 */
public record OriginReply(Optional<StreamOrigin> origin, Optional<String> onlyVersion, boolean severalVersions) {
    /** Creates the reply of a host that knows of one version at most. */
    public OriginReply(Optional<StreamOrigin> origin, Optional<String> onlyVersion) {
        this(origin, onlyVersion, false);
    }
}
