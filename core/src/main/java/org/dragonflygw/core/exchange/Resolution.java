package org.dragonflygw.core.exchange;

import java.util.Optional;

/**
 * Where a request goes, or why it goes nowhere.
 *
 * @param request the request with its route and team
 * @param reason why it is rejected
 */
public record Resolution(Optional<ExchangeRequest> request, Optional<RejectReason> reason) {
    static Resolution of(ExchangeRequest request) {
        return new Resolution(Optional.of(request), Optional.empty());
    }

    static Resolution rejected(RejectReason reason) {
        return new Resolution(Optional.empty(), Optional.of(reason));
    }
}
