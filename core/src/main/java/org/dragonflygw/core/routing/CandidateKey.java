package org.dragonflygw.core.routing;

import org.dragonflygw.core.request.RequestContext;

/**
 * What the candidate order looks at.
 *
 * @param prefixHash hash of service, adapter and prompt prefix; requests on the same documents share it
 * @param chatHash hash of the chat, or of the whole request where it belongs to no chat
 * @param prefixTokens tokens of the prompt that an engine with a warm cache need not prefill again
 */
public record CandidateKey(long prefixHash, long chatHash, int prefixTokens) {
    /** The key of a request. */
    public static CandidateKey of(RequestContext request) {
        long scope = RoutingHash.mix(RoutingHash.of(request.service().name()), RoutingHash.of(request.adapter()));
        long prefix = RoutingHash.mix(scope, request.prefixFingerprint());
        long chat = request.chatId().isEmpty() ? request.fingerprint() : RoutingHash.of(request.chatId());
        return new CandidateKey(prefix, RoutingHash.mix(prefix, chat), request.promptTokens());
    }
}
