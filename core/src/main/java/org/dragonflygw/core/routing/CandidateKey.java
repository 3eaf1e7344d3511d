package org.dragonflygw.core.routing;

import org.dragonflygw.core.request.RequestContext;

/**
 * Hashes and size of a request by which a {@link CandidateOrder} ranks endpoints.
 *
 * @param prefixHash hash of service, adapter and prompt prefix; the same for all requests on the same documents
 * @param chatHash hash of the chat, or of the whole request if it belongs to no chat
 * @param prefixTokens prompt tokens that an engine with a warm cache does not prefill again
 */
public record CandidateKey(long prefixHash, long chatHash, int prefixTokens) {
    /** Returns the key of a request. */
    public static CandidateKey of(RequestContext request) {
        long scope = RoutingHash.mix(RoutingHash.of(request.service().name()), RoutingHash.of(request.adapter()));
        long prefix = RoutingHash.mix(scope, request.prefixFingerprint());
        long chat = request.chatId().isEmpty() ? request.fingerprint() : RoutingHash.of(request.chatId());
        return new CandidateKey(prefix, RoutingHash.mix(prefix, chat), request.promptTokens());
    }
}
