package org.dragonflygw.core.exchange;

import java.util.Optional;

/**
 * Result of resolving a request: exactly one of the components is present.
 *
 * @param request the request with its route, team and service
 * @param reason why the request is rejected
 */
public record Resolution(Optional<ExchangeRequest> request, Optional<RejectReason> reason) {
    static Resolution of(ExchangeRequest request) {
        return new Resolution(Optional.of(request), Optional.empty());
    }

    static Resolution rejected(RejectReason reason) {
        return new Resolution(Optional.empty(), Optional.of(reason));
    }
}
