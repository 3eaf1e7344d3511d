package org.dragonflygw.core.timeline;

/**
 * What an event is about, as ids by which events are looked up. Parts that do not apply are empty strings.
 *
 * @param requestId id of the request
 * @param chatId id of the chat
 * @param endpointId id of the endpoint
 * @param team name of the team
 * @param key idempotency key
 * @param lease name of the lease
 */
public record EventSubject(String requestId, String chatId, String endpointId, String team, String key, String lease) {
    /** Subject of events that are not about a particular request, endpoint or lease. */
    public static final EventSubject NONE = new EventSubject("", "", "", "", "", "");

    /** Subject of an event about a request, with its chat, endpoint and team. */
    public static EventSubject request(String requestId, String chatId, String endpointId, String team) {
        return new EventSubject(requestId, chatId, endpointId, team, "", "");
    }

    /** Subject of an event about an endpoint. */
    public static EventSubject endpoint(String endpointId) {
        return new EventSubject("", "", endpointId, "", "", "");
    }

    /** Subject of an event about a lease. */
    public static EventSubject lease(String lease) {
        return new EventSubject("", "", "", "", "", lease);
    }
}
